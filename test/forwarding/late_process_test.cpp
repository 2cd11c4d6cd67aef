#include <catch2/catch.hpp>
#include <chrono>

#include "forwarding/served_callers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using standin::get;
using standin::served_callers;

// Guards against a stop that takes a kept connection for idle though a request
// has come on it that is not read yet, and throws the request away.
TEST_CASE("a request that came before a stop closes its connection is served") {
    served_callers fixture;
    auto caller = fixture.kept_caller();
    fixture.let_it_rest();
    fixture.server.ask_to_close();
    caller->send(get("/second"));
    fixture.server.close_idle();
    CHECK(fixture.await_requests(2));
    CHECK(fixture.ended.size() == 1);
}

// Guards against the same by the limit of idle connections, in a process that
// wakes late: its timers run before its sockets are read.
TEST_CASE(
    "a request that came within the idle limit is served by a late process") {
    served_callers fixture;
    caller_limits limits;
    limits.idle_time = 300ms;
    fixture.server.change_limits(limits);
    auto caller = fixture.kept_caller();
    caller->send(get("/second"));
    fixture.stand_still(700ms);
    CHECK(fixture.await_requests(2));
    CHECK(fixture.ended.size() == 1);
}

// Guards against 408 for a request that came whole in time and was read late.
TEST_CASE("a head that came in time is not given up by a late process") {
    served_callers fixture;
    caller_limits limits;
    limits.head_time = 300ms;
    fixture.server.change_limits(limits);
    auto caller = fixture.caller();
    caller->send("GET / HT");
    fixture.run_for(20ms);
    caller->send("TP/1.1\r\nHost: h\r\n\r\n");
    fixture.stand_still(700ms);
    CHECK(fixture.await_requests(1));
    CHECK(caller->received().empty());
}

// Guards against a request that crosses our close, is read and thrown away: its
// caller could not tell that from one that was run.
TEST_CASE("a request that crosses the close of its connection is not read") {
    served_callers fixture;
    auto caller = fixture.kept_caller();
    fixture.let_it_rest();
    const bool by_limit = GENERATE(false, true);
    CAPTURE(by_limit);
    if (by_limit) {
        caller_limits limits;
        limits.idle_time = 100ms;
        fixture.server.change_limits(limits);
        fixture.stand_still(300ms);
        fixture.loop.run_once(false);
    } else {
        fixture.server.close_idle();
    }
    caller->send(get("/second"));
    CHECK(fixture.run_until([&] { return fixture.server.connections() == 0; }));
    CHECK(fixture.requests.size() == 1);
    CHECK(fixture.ended.size() == 1);
}

// Guards against requests that are reset with the listener, since a stop closes
// it before a late process has accepted their connections.
TEST_CASE("connections that wait when the listener is closed are served") {
    served_callers fixture;
    std::vector<std::unique_ptr<standin::raw_connection>> waiting;
    constexpr std::size_t more_than_are_taken_at_once = 100;
    for (std::size_t i = 0; i < more_than_are_taken_at_once; ++i) {
        waiting.push_back(fixture.caller());
        waiting.back()->send(get("/"));
    }
    fixture.server.ask_to_close();
    fixture.server.stop_accepting();
    CHECK(fixture.await_requests(waiting.size()));
}

// Guards against an empty line behind a request that counts as the beginning of
// the next one: it held up a stop, and was answered 408.
TEST_CASE("an empty line between requests does not keep a connection open") {
    served_callers fixture;
    auto caller = fixture.kept_caller();
    caller->send("\r\n");
    fixture.run_for(20ms);
    fixture.let_it_rest();
    fixture.server.close_idle();
    CHECK(fixture.server.connections() == 0);
}
