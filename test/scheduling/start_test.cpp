#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// A service without classes of its own, to which a route with a target leads,
// as on a platform that routes by host and path.
scheduler_fixture service_with_route(unsigned servers, unsigned slots) {
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
    request_arrived event = f.request(id, 800ms);
    event.request_class = "lookups";
    event.target = f.now + 240ms;
    return event;
}

} // namespace

TEST_CASE("before any answer, a third of the target is the service time") {
    // A newly started instance admits as many requests as it expects its
    // servers to serve in time. When it assumed 20 ms for requests that took
    // 100 ms, it admitted five times too many, which were refused only later.
    scheduler_fixture f = service_with_route(1, 1);
    std::size_t refused = 0;
    for (request_id id = 1; id <= 20; ++id) {
        f.send(lookup(f, id));
        refused += f.all<refuse_request>().size();
    }
    CHECK(f.scheduler().queued() <= 4);
    CHECK(refused >= 15);
}

TEST_CASE("before any answer, requests do not count as slow too early") {
    // If a second copy of each request was sent before the first could have
    // been answered, the load of all servers would double just when all callers
    // return after an outage.
    scheduler_fixture f = service_with_route(1, 1);
    f.send(lookup(f, 1));
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].slow_after > 100ms);
}

TEST_CASE("slots shared with other instances are counted in part") {
    // No owner is known yet, and each of some dozen instances may use one slot
    // of each server. If each counted these slots in full, it would admit late
    // requests as well, and the servers would get several times more requests
    // than they have slots.
    scheduler_fixture f = service_with_route(12, 1);
    f.view.members_known = false;
    f.view.owners.owners.clear();
    f.apply_view();
    CHECK(f.scheduler().load(f.now).working_slots == 12);
    CHECK(f.scheduler().load(f.now).prompt_slots < 2);
}

TEST_CASE("the arrival rate is right from the start of a rush") {
    // All callers return at once. If the first hundred requests were divided by
    // a full averaging period of which only a part has passed, the rate would
    // look low, and late requests would get slots that requests in time need.
    scheduler_fixture f = service_with_route(1, 1);
    for (request_id id = 1; id <= 60; ++id) {
        f.send(lookup(f, id));
        f.now += 5ms;
    }
    const auto load = f.scheduler().load(f.now);
    CHECK(load.arrivals_per_second > 150);
    CHECK(load.arrivals_per_second < 250);
}

TEST_CASE("an instance without slots tells refused callers a short time") {
    // A request with little time left arrives on an instance that owns no slots
    // and does not know the owners' backlog. If the caller were told to return
    // after half a minute, it would stay away longer than needed.
    scheduler_fixture f(2, 2, 0);
    f.link_peer();
    for (request_id id = 1; id <= 40; ++id) {
        f.send(f.request(id, 1ms));
        for (const refuse_request& refused : f.all<refuse_request>()) {
            CHECK(refused.retry_after < 1s);
        }
    }
}
