#include <catch2/catch.hpp>

#include <waxwingvale/decision/idempotency_key.hpp>

#include "entry/own_protocol.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

configuration one_service() {
    request_class look;
    look.name = "look";
    look.methods = {"GET"};
    look.path_prefix = "/";
    look.nature = request_nature::retriable;
    look.deadline = 2s;
    request_class confirm = look;
    confirm.name = "confirm";
    confirm.methods = {"POST"};
    confirm.path_prefix = "/confirm";
    confirm.nature = request_nature::at_most_once;
    service desk;
    desk.name = "assign-desk";
    desk.classes = {confirm, look};
    desk.tenants = {"assignors"};
    configuration config;
    config.services = {desk};
    return config;
}

io::http_request request(const std::string& method, const std::string& target,
                         io::http_headers headers = {
                             {"Waxwing-Tenant", "assignors"}}) {
    return {method, target, std::move(headers), "", "127.0.0.1"};
}

const entry::own_protocol protocol;

} // namespace

TEST_CASE("the first path segment names the service, the rest goes on") {
    const auto config = one_service();
    const auto call =
        protocol.understand(config, request("GET", "/assign-desk/a/b?q=1"));
    REQUIRE(call.has_value());
    CHECK(call.value().target == "/a/b?q=1");
    CHECK(call.value().kind.name == "look");
    CHECK(call.value().time_left == 2s);
    CHECK_FALSE(call.value().attempt);
    const auto bare =
        protocol.understand(config, request("GET", "/assign-desk?q=1"));
    REQUIRE(bare.has_value());
    CHECK(bare.value().target == "/?q=1");
}

TEST_CASE("a plain key is named by the prefix sent beside it") {
    const auto config = one_service();
    const auto key_of = [&](const std::string& key) {
        return *protocol
                    .understand(config,
                                request("POST", "/assign-desk/confirm",
                                        {{"Waxwing-Tenant", "assignors"},
                                         {"Idempotency-Key", key},
                                         {"Waxwing-Key-Prefix", "sea-1.7-3"}}))
                    .value()
                    .key;
    };
    const auto named = decision::parse_idempotency_key(key_of("order 12"));
    REQUIRE(named);
    CHECK(named->holder == member_id{"sea-1", 7});
    CHECK(key_of("order 12") != key_of("order_20 12"));
    CHECK(key_of("pdx-1.9-1.phone.4") == "pdx-1.9-1.phone.4");
}

TEST_CASE("what is not understood is refused with the header named") {
    const auto config = one_service();
    const auto code = [&](const io::http_request& r) {
        return protocol.understand(config, r).error().code;
    };
    CHECK(code(request("GET", "/nobody/x")) == error_code::not_found);
    CHECK(code(request("GET", "")) == error_code::not_found);
    CHECK(code(request("DELETE", "/assign-desk/x")) == error_code::not_found);
    CHECK(code(request("GET", "/assign-desk/x", {})) == error_code::refused);
    const auto bad =
        protocol.understand(config, request("GET", "/assign-desk/x",
                                            {{"Waxwing-Tenant", "assignors"},
                                             {"Waxwing-Deadline-Ms", "-5"}}));
    CHECK(bad.error().detail == "Waxwing-Deadline-Ms: expected a whole number");
    const auto long_key = protocol.understand(
        config, request("POST", "/assign-desk/confirm",
                        {{"Waxwing-Tenant", "assignors"},
                         {"Idempotency-Key", std::string(300, 'k')}}));
    CHECK(long_key.error().code == error_code::invalid_argument);
}
