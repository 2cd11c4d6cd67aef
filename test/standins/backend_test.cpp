#include <catch2/catch.hpp>
#include <csignal>

#include <nlohmann/json.hpp>

#include "standin/body_digest.hpp"
#include "standin/http_request_once.hpp"
#include "standin/process.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;
using nlohmann::json;

namespace {

std::uint16_t port_of(const json& ready) {
    return ready.at("port").get<std::uint16_t>();
}

io::http_call call_to(std::uint16_t port) {
    io::http_call call;
    call.port = port;
    call.method = "POST";
    call.target = "/book";
    return call;
}

json load_of(std::uint16_t port) {
    return json::parse(body_of(http_get(port, "/-/load")));
}

// Calls on a loop of the test's own, without waiting for their ends.
struct open_calls {
    kernel::event_loop loop;
    io::http_client client{loop, {}};
    std::vector<io::http_call_result> ended;

    io::http_client::call_id send(io::http_call call) {
        call.host = "127.0.0.1";
        return client.send(std::move(call), [&](io::http_call_result r) {
            ended.push_back(std::move(r));
        });
    }
    bool until(const std::function<bool()>& condition) {
        return wait_until([&] {
            loop.run_once(false);
            return condition();
        });
    }
};

} // namespace

TEST_CASE("a stand-in backend server answers with the request's own digest") {
    child_process backend("standin-backend", {"--service-ms=0"});
    const auto port = port_of(backend.read_ready());
    auto call = call_to(port);
    call.body = "game 7";
    call.headers = {{"X-Request-Id", "r1"}, {"Idempotency-Key", "k1"}};
    const auto ended = http_request_once(call);
    REQUIRE(status_of(ended) == 200);
    const auto body = json::parse(body_of(ended));
    CHECK(body.at("request") == "r1");
    CHECK(body.at("digest") == body_digest("/book", "game 7"));
    const auto& headers = ended.response.value().headers;
    CHECK(*io::find_header(headers, "Waxwing-Backend-State") == "serving");
    const auto runs = json::parse(body_of(http_get(port, "/-/runs")));
    CHECK(runs.at("by_key").at("k1") == 1);
}

TEST_CASE("a stand-in backend server sheds above its slots and its queue") {
    child_process backend("standin-backend", {"--slots=1", "--queue=1",
                                              "--service-ms=60000", "--fixed"});
    const auto port = port_of(backend.read_ready());
    open_calls calls;
    for (int i = 0; i < 3; ++i) {
        calls.send(call_to(port));
    }
    REQUIRE(calls.until([&] { return calls.ended.size() == 1; }));
    const auto& shed = calls.ended.front().response.value();
    CHECK(shed.status == 503);
    CHECK(*io::find_header(shed.headers, "Waxwing-Not-Started") == "1");
}

TEST_CASE("a closed connection frees the slot of its request") {
    child_process backend("standin-backend", {"--slots=1", "--queue=0",
                                              "--service-ms=60000", "--fixed"});
    const auto port = port_of(backend.read_ready());
    open_calls calls;
    const auto given_up = calls.send(call_to(port));
    REQUIRE(calls.until([&] { return load_of(port).at("in_flight") == 1; }));
    calls.client.cancel(given_up);
    CHECK(calls.until([&] { return load_of(port).at("in_flight") == 0; }));
}

TEST_CASE("a run that meets its deadline ends there") {
    child_process backend("standin-backend", {"--service-ms=60000", "--fixed"});
    auto call = call_to(port_of(backend.read_ready()));
    call.headers = {{"Waxwing-Deadline-Ms", "5"}};
    CHECK(status_of(http_request_once(call)) == 504);
}

TEST_CASE("a draining backend server refuses new work, finishes and ends") {
    child_process backend("standin-backend", {"--service-ms=50", "--fixed"});
    const auto port = port_of(backend.read_ready());
    open_calls calls;
    calls.send(call_to(port));
    REQUIRE(calls.until([&] { return load_of(port).at("in_flight") == 1; }));
    REQUIRE(status_of(http_post(port, "/-/fault?drain=1")) == 200);
    const auto refused = http_request_once(call_to(port));
    REQUIRE(status_of(refused) == 503);
    const auto& headers = refused.response.value().headers;
    CHECK(*io::find_header(headers, "Waxwing-Not-Started") == "1");
    CHECK(*io::find_header(headers, "Waxwing-Backend-State") == "leaving");
    backend.signal(SIGTERM);
    REQUIRE(calls.until([&] { return calls.ended.size() == 1; }));
    CHECK(status_of(calls.ended.front()) == 200);
    CHECK(backend.wait() == 0);
}

TEST_CASE("a marked request ends the stand-in backend server") {
    child_process backend("standin-backend", {});
    auto call = call_to(port_of(backend.read_ready()));
    call.body = "please crash-backend-server";
    CHECK_FALSE(http_request_once(call).response.has_value());
    CHECK(backend.wait() == 128 + SIGABRT);
}

TEST_CASE("after going silent only new connections are answered") {
    child_process backend("standin-backend", {"--service-ms=0"});
    const auto port = port_of(backend.read_ready());
    open_calls calls;
    calls.send(call_to(port));
    REQUIRE(calls.until([&] { return calls.ended.size() == 1; }));
    REQUIRE(status_of(http_post(port, "/-/fault?silent=1")) == 200);
    // The kept connection is used again once the fault is in force.
    const auto silent = [&] {
        auto call = call_to(port);
        call.timeout = std::chrono::milliseconds(100);
        calls.ended.clear();
        calls.send(call);
        return calls.until([&] { return calls.ended.size() == 1; }) &&
               status_of(calls.ended.front()) == 0;
    };
    CHECK(wait_until(silent));
    CHECK(status_of(http_request_once(call_to(port))) == 200);
}

TEST_CASE("a failing backend server answers 500 at once") {
    child_process backend("standin-backend", {"--service-ms=60000", "--fixed"});
    const auto port = port_of(backend.read_ready());
    http_post(port, "/-/fault?fail_fast=1");
    CHECK(status_of(http_request_once(call_to(port))) == 500);
}

TEST_CASE("one process plays several backend servers") {
    child_process backend("standin-backend",
                          {"--count=3", "--name=gallery", "--service-ms=0"});
    const auto servers = backend.read_ready().at("servers");
    REQUIRE(servers.size() == 3);
    const auto third = servers.at(2).at("port").get<std::uint16_t>();
    const auto answer = json::parse(body_of(http_get(third, "/scan")));
    CHECK(answer.at("server") == "gallery-3");
}
