#include <catch2/catch.hpp>
#include <map>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

TEST_CASE("a request starts at once on a free slot") {
    scheduler_fixture f(2, 1, 2);
    f.arrive(1);
    REQUIRE(f.all<start_request>().size() == 1);
    const std::string first = f.all<start_request>()[0].backend_server;
    f.arrive(2);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].backend_server != first);
    f.arrive(3);
    CHECK(f.all<start_request>().empty());
    CHECK(f.scheduler().queued() == 1);
}

TEST_CASE(
    "a waiting request is assigned to a server only when a slot is free") {
    scheduler_fixture f(2, 1, 2);
    f.arrive(1);
    const std::string server = f.all<start_request>()[0].backend_server;
    f.arrive(2);
    f.arrive(3);
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 3);
    CHECK(f.all<start_request>()[0].backend_server == server);
}

TEST_CASE("nothing is started on a backend server that is leaving") {
    // An operator removes a backend server. A request sent there would be
    // refused, or aborted when the server stops.
    scheduler_fixture f(2, 2, 2);
    f.view.beliefs = {{"a",
                       1,
                       backend_state::leaving,
                       belief_source::traffic,
                       "entry-1",
                       {}}};
    f.apply_view();
    for (request_id id = 1; id <= 4; ++id) {
        f.arrive(id);
        for (const start_request& started : f.all<start_request>()) {
            CHECK(started.backend_server == "b");
        }
    }
    CHECK(f.scheduler().queued() == 2);
}

TEST_CASE("a belief about a previous incarnation excludes no server") {
    // A backend server has crashed and restarted; a peer's belief about the
    // crash arrives after the restart. If it applied, a working server would
    // stay idle.
    scheduler_fixture f(1, 1, 1);
    f.view.beliefs = {
        {"a", 2, backend_state::serving, belief_source::traffic, "entry-0", {}},
        {"a", 1, backend_state::dead, belief_source::peer, "entry-1", {}}};
    f.apply_view();
    f.arrive(1);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("suspicions never exclude all backend servers") {
    // The network near one entry instance fails briefly, and all backend
    // servers appear dead from there. Callers would see an outage.
    scheduler_fixture f(2, 1, 2);
    f.view.beliefs = {
        {"a", 1, backend_state::dead, belief_source::probe, "entry-0", {}},
        {"b", 1, backend_state::dead, belief_source::probe, "entry-0", {}}};
    f.apply_view();
    f.arrive(1);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("without a backend server a request is refused at once") {
    scheduler_fixture f(1, 1, 1);
    f.view.beliefs = {{"a",
                       1,
                       backend_state::dead,
                       belief_source::platform_list,
                       "platform",
                       {}}};
    f.apply_view();
    f.arrive(1);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason ==
          refusal_reason::no_backend_server);
    CHECK(f.all<refuse_request>()[0].retry_after > 0us);
}

TEST_CASE(
    "an instance that knows no other instance uses one slot of each server") {
    // All instances start at the same time and do not know each other yet. If
    // each assumed to be the only one, each would fill all backend servers.
    scheduler_fixture f(3, 4, 3);
    f.view.members_known = false;
    f.view.owners.owners.clear();
    f.apply_view();
    for (request_id id = 1; id <= 6; ++id) {
        f.arrive(id);
    }
    CHECK(f.scheduler().in_flight() == 3);
    CHECK(f.scheduler().queued() == 3);
}

TEST_CASE("frequent views do not restart the rotation of servers") {
    // A service has few requests, and the view changes between any two of them.
    // If each view restarted the rotation at the first server, nothing would be
    // learned about the others.
    scheduler_fixture f(6, 2, 6);
    std::map<std::string, unsigned> begun;
    for (request_id id = 1; id <= 60; ++id) {
        f.apply_view();
        f.arrive(id);
        REQUIRE(f.all<start_request>().size() == 1);
        ++begun[f.all<start_request>()[0].backend_server];
        f.now += 20ms;
        f.finish(id);
    }
    CHECK(begun.size() == 6);
    for (const auto& each : begun) {
        CHECK(each.second == 10);
    }
}
