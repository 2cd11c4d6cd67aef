#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "standin/http_request_once.hpp"
#include "standin/process.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

io::http_call_result put(std::uint16_t port, const std::string& target,
                         const std::string& body) {
    io::http_call call;
    call.port = port;
    call.method = "PUT";
    call.target = "/control/values/" + target;
    call.body = body;
    return http_request_once(std::move(call));
}

std::string revision_of(const io::http_call_result& ended) {
    const auto* found =
        io::find_header(ended.response.value().headers, "Revision");
    return found == nullptr ? "" : *found;
}

// A platform stand-in as a process.
struct running_platform {
    child_process process{"standin-platform", {}};
    std::uint16_t port = process.read_ready().at("port").get<std::uint16_t>();
};

} // namespace

TEST_CASE("a value is read with its revision, which rises") {
    running_platform platform;
    CHECK(status_of(http_get(platform.port, "/v1/values/configuration")) ==
          404);
    put(platform.port, "configuration", "one");
    put(platform.port, "configuration", "two");
    const auto read = http_get(platform.port, "/v1/values/configuration");
    CHECK(body_of(read) == "two");
    CHECK(revision_of(read) == "2");
}

TEST_CASE("a watch ends with the next revision, or unchanged") {
    running_platform platform;
    put(platform.port, "instances", "one");
    const auto unchanged =
        http_get(platform.port, "/v1/values/instances?after=1&wait_ms=1");
    CHECK(status_of(unchanged) == 304);
    CHECK(revision_of(unchanged) == "1");
    kernel::event_loop loop;
    io::http_client client(loop, {});
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = platform.port;
    call.target = "/v1/values/instances?after=1&wait_ms=20000";
    call.timeout = patience;
    std::string seen;
    client.send(call, [&](io::http_call_result r) { seen = body_of(r); });
    REQUIRE(wait_until([&] {
        loop.run_once(false);
        const auto counts = nlohmann::json::parse(
            body_of(http_get(platform.port, "/control/counts")));
        return counts.at("waiting") == 1;
    }));
    put(platform.port, "instances", "two");
    CHECK(wait_until([&] {
        loop.run_once(false);
        return seen == "two";
    }));
}

TEST_CASE("a stale platform answers an older revision and counts each call") {
    running_platform platform;
    put(platform.port, "configuration", "one");
    put(platform.port, "configuration", "two");
    http_post(platform.port, "/control/fault?mode=stale");
    const auto stale = http_get(platform.port, "/v1/values/configuration");
    CHECK(body_of(stale) == "one");
    CHECK(revision_of(stale) == "1");
    http_post(platform.port, "/control/fault?mode=down");
    CHECK(status_of(http_get(platform.port, "/v1/values/configuration")) ==
          503);
    http_post(platform.port, "/control/fault?mode=slow&ms=5");
    CHECK(body_of(http_get(platform.port, "/v1/values/configuration")) ==
          "two");
    const auto counts = nlohmann::json::parse(
        body_of(http_get(platform.port, "/control/counts")));
    CHECK(counts.at("calls") == 3);
}
