#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// A service of routes, as the platform has it: no class of its own, and a
// target that the operator promises.
scheduler_fixture routed(unsigned servers, unsigned slots) {
    scheduler_fixture f(servers, slots, servers);
    configuration config = *f.view.config;
    config.services[0].typical_time = duration::zero();
    config.services[0].classes.clear();
    route lookups;
    lookups.host = "a.example";
    lookups.kind.name = "lookups";
    lookups.kind.path_prefix = "/";
    lookups.kind.target_latency = 240ms;
    lookups.targets = {{"slate-view", 1}};
    config.routes =
        std::make_shared<const route_table>(std::vector<route>{lookups});
    f.view.config = std::make_shared<const configuration>(config);
    f.apply_view();
    return f;
}

request_arrived lookup(const scheduler_fixture& f, request_id id) {
    request_arrived made = f.request(id, 800ms);
    made.request_class = "lookups";
    made.target = f.now + 240ms;
    return made;
}

} // namespace

TEST_CASE("before any answer, work is taken for a third of its target") {
    // An instance that has just started lets in as many requests as it believes
    // its servers to serve in time. Taken for 20 ms, requests of 100 ms were
    // let in five times too many, and waited until they were refused.
    scheduler_fixture f = routed(1, 1);
    std::size_t refused = 0;
    for (request_id id = 1; id <= 20; ++id) {
        f.send(lookup(f, id));
        refused += f.all<refuse_request>().size();
    }
    CHECK(f.scheduler().queued() <= 4);
    CHECK(refused >= 15);
}

TEST_CASE("before any answer, none is taken for slow at once") {
    // A second copy of each request, sent before its first can have been
    // answered, doubles the work of all servers when everybody comes back.
    scheduler_fixture f = routed(1, 1);
    f.send(lookup(f, 1));
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].slow_after > 100ms);
}

TEST_CASE("slots that others use too are counted in part") {
    // No owner is known yet, and each of some dozen instances may use one slot
    // of each server. Counted whole, each would take late requests as well, and
    // the servers get several times what they have slots for.
    scheduler_fixture f = routed(12, 1);
    f.view.introduced = false;
    f.view.owners.owners.clear();
    f.apply_view();
    CHECK(f.scheduler().load(f.now).working_slots == 12);
    CHECK(f.scheduler().load(f.now).prompt_slots < 2);
}

TEST_CASE("a rush is known for one from its first moments") {
    // Everybody comes back at once. Compared with a time that has not passed
    // yet, the first hundred requests look like few, and slots that those in
    // time need are given to those that are late already.
    scheduler_fixture f = routed(1, 1);
    for (request_id id = 1; id <= 60; ++id) {
        f.send(lookup(f, id));
        f.now += 5ms;
    }
    const auto load = f.scheduler().load(f.now);
    CHECK(load.arrivals_per_second > 150);
    CHECK(load.arrivals_per_second < 250);
}

TEST_CASE("who lends no slots tells no far moment to come back") {
    // A caller with little time left reaches an instance that borrows slots. It
    // knows nothing of what the owners have to do; told half a minute, the
    // caller stays away for nothing.
    scheduler_fixture f(2, 2, 0);
    f.link_peer();
    for (request_id id = 1; id <= 40; ++id) {
        f.send(f.request(id, 1ms));
        for (const refuse_request& refused : f.all<refuse_request>()) {
            CHECK(refused.come_back_in < 1s);
        }
    }
}
