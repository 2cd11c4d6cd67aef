#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "steer/address_desk.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

member instance(const std::string& name, std::uint64_t incarnation) {
    member made;
    made.id = {name, incarnation};
    made.data_centre = "sea";
    made.addresses.host = "127.0.0.1";
    made.addresses.caller_port = 8080;
    return made;
}

view two_instances() {
    configuration config;
    service slate;
    slate.name = "slate-view";
    for (const char* name : {"a", "b"}) {
        backend_server server;
        server.name = name;
        server.slots = 6;
        slate.backend_servers.push_back(server);
    }
    config.services = {slate};
    config.address_keep_min = 2s;
    config.address_keep_max = 8s;
    view made;
    made.config = std::make_shared<const configuration>(config);
    made.members = {instance("sea-1", 1'000'000), instance("sea-2", 2'000'000)};
    made.fresh = true;
    return made;
}

program::view_published published(const view& made) {
    return program::with_owners(std::make_shared<const view>(made));
}

io::http_request asking(const std::string& target) {
    return {"GET", target, {}, "", "127.0.0.1"};
}

} // namespace

TEST_CASE("each address comes with the prefix for keys that it remembers") {
    // The first entry instance dies. Its callers go to the next address; with
    // a key that names the dead instance they could only be told "unknown".
    steer::address_desk desk;
    desk.take(published(two_instances()));
    const auto answer =
        desk.answer(asking("/v1/addresses?service=slate-view"), {1, 5'000'000});
    REQUIRE(answer.status == 200);
    const auto body = nlohmann::json::parse(answer.body);
    REQUIRE(body.at("addresses").size() == 2);
    CHECK(body.at("key_prefix") == body.at("addresses").at(0).at("key_prefix"));
    for (const auto& address : body.at("addresses")) {
        const std::string expected = address.at("instance") == "sea-1"
                                         ? "sea-1.1000000-4"
                                         : "sea-2.2000000-3";
        CHECK(address.at("key_prefix") == expected);
    }
    CHECK(body.at("keep_ms") >= 2000);
    CHECK(body.at("keep_ms") <= 8000);
}

TEST_CASE("an asking that cannot be answered says why") {
    steer::address_desk desk;
    const auto status = [&](const std::string& target) {
        return desk.answer(asking(target), {1, 0}).status;
    };
    CHECK(status("/v1/addresses?service=slate-view") == 503);
    desk.take(published(two_instances()));
    CHECK(status("/v1/addresses") == 400);
    CHECK(status("/v1/addresses?service=nobody") == 404);
    CHECK(status("/elsewhere") == 404);
}

TEST_CASE("by an unproved configuration no service is said not to exist") {
    // Guards against 404 for a service that was added and not heard of yet.
    steer::address_desk desk;
    auto unproved = two_instances();
    unproved.standing = configuration_standing::unconfirmed;
    desk.take(published(unproved));
    const auto target = "/v1/addresses?service=nobody";
    CHECK(desk.answer(asking(target), {1, 0}).status == 503);
    unproved.standing = configuration_standing::current;
    unproved.fresh = false;
    desk.take(published(unproved));
    CHECK(desk.answer(asking(target), {1, 0}).status == 503);
    desk.take(published(two_instances()));
    CHECK(desk.answer(asking(target), {1, 0}).status == 404);
}
