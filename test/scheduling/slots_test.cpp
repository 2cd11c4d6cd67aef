#include <catch2/catch.hpp>
#include <map>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

TEST_CASE("a request gets a free slot at once") {
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

TEST_CASE("a waiting request is bound when a slot is free, not before") {
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
    // An operator takes a backend server out. A request sent there would be
    // refused or cut off when it stops.
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

TEST_CASE("word about a former incarnation shuts nobody out") {
    // A backend server crashed and was started again; a peer's word about the
    // crash arrives after the restart. Believed, it would idle a good server.
    scheduler_fixture f(1, 1, 1);
    f.view.beliefs = {
        {"a", 2, backend_state::serving, belief_source::traffic, "entry-0", {}},
        {"a", 1, backend_state::dead, belief_source::peer, "entry-1", {}}};
    f.apply_view();
    f.arrive(1);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("suspicion never shuts out all backend servers") {
    // The network near one entry instance breaks for a moment, and all
    // backend servers look dead from there. Callers would see an outage.
    scheduler_fixture f(2, 1, 2);
    f.view.beliefs = {
        {"a", 1, backend_state::dead, belief_source::probe, "entry-0", {}},
        {"b", 1, backend_state::dead, belief_source::probe, "entry-0", {}}};
    f.apply_view();
    f.arrive(1);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("without a backend server the refusal comes at once") {
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
    CHECK(f.all<refuse_request>()[0].come_back_in > 0us);
}

TEST_CASE("an instance that knows no other uses one slot of each server") {
    // All instances start at one moment and none has heard of another yet. Each
    // that takes itself for the only one would fill every backend server.
    scheduler_fixture f(3, 4, 3);
    f.view.introduced = false;
    f.view.owners.owners.clear();
    f.apply_view();
    for (request_id id = 1; id <= 6; ++id) {
        f.arrive(id);
    }
    CHECK(f.scheduler().in_flight() == 3);
    CHECK(f.scheduler().queued() == 3);
}

TEST_CASE("views that follow each other leave servers their turns") {
    // Between two requests of a quiet service comes a new view. If each began
    // with the first server again, nothing would be learned of the others.
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
