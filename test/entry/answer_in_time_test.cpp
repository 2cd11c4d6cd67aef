#include <catch2/catch.hpp>
#include <string>

#include "entry/caller_world.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

// Guards against a connection that stays open without an end when its time is
// over while a long answer goes out, and holds up every stop.
TEST_CASE("an answer that goes out beyond its time is broken off") {
    standin::caller_world world(1);
    for (auto& each : world.config.services[0].classes) {
        each.deadline = 300ms;
    }
    world.publish();
    auto caller = world.caller();
    caller->send(standin::caller_world::get());
    REQUIRE(world.run_until([&] { return world.requests_at_servers() == 1; }));
    auto* server = world.busy_connection(world.a) != nullptr
                       ? world.busy_connection(world.a)
                       : world.busy_connection(world.b);
    constexpr std::size_t longer_than_is_waited_for = 2 * 1024 * 1024;
    server->send("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" +
                 std::string(longer_than_is_waited_for, 'x'));
    REQUIRE(
        world.run_until([&] { return caller->received_contains("200 OK"); }));
    CHECK(world.run_until([&] { return caller->ended(); }));
    CHECK(caller->ended_by_reset());
    CHECK(world.callers.pending() == 0);
}
