#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

TEST_CASE("a request that would complete too late is refused at once") {
    // One slot, 20 ms a request: of many with 200 ms to go only the first
    // few can be served. Those told later than at once would have lost the
    // time in which they could go elsewhere.
    scheduler_fixture f(1, 1, 1);
    std::size_t refused = 0;
    for (request_id id = 1; id <= 30; ++id) {
        f.arrive(id, 200ms);
        refused += f.all<refuse_request>().size();
    }
    CHECK(f.scheduler().queued() + refused == 29);
    CHECK(f.scheduler().queued() >= 3);
    CHECK(f.scheduler().queued() <= 10);
}

TEST_CASE("refused callers get moments at the rate of the slots") {
    // All devices wake on the hour. Told the same moment, they would all be
    // back then; told longer than needed, the slots would stand idle.
    scheduler_fixture f(1, 1, 1);
    std::set<duration> moments;
    for (request_id id = 1; id <= 130; ++id) {
        f.arrive(id, 200ms);
        for (const refuse_request& refused : f.all<refuse_request>()) {
            moments.insert(refused.come_back_in);
        }
    }
    CHECK(moments.size() >= 120);
    const duration span = *moments.rbegin() - *moments.begin();
    CHECK(span == 20ms * (static_cast<int>(moments.size()) - 1));
}

TEST_CASE("moments stay within the horizon and apart") {
    scheduler_fixture f(1, 1, 1);
    std::set<duration> moments;
    for (request_id id = 1; id <= 5000; ++id) {
        f.arrive(id, 200ms);
        for (const refuse_request& refused : f.all<refuse_request>()) {
            moments.insert(refused.come_back_in);
            CHECK(refused.come_back_in < 31s);
        }
    }
    CHECK(moments.size() > 4900);
}

TEST_CASE("with an idle slot no request is refused for its estimate") {
    // Estimates that are too high must not lock out what would correct them.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1, 1ms);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a deadline that has passed is never started") {
    // The process was stopped for a second; the slot is free, but the caller
    // has long given up.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2, 500ms);
    f.now += 1s;
    f.finish(1);
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<expire_request>().size() == 1);
    CHECK(f.all<expire_request>()[0].request == 2);
}

TEST_CASE("the most urgent waiting request goes first") {
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2, 900ms);
    f.arrive(3, 500ms);
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 3);
}

TEST_CASE("a class waits in no greater number than the file allows") {
    scheduler_fixture f(1, 1, 1);
    configuration config = *f.view.config;
    config.services[0].classes[0].queue_limit = 2;
    f.view.config = std::make_shared<const configuration>(config);
    f.apply_view();
    for (request_id id = 1; id <= 3; ++id) {
        f.arrive(id);
    }
    f.arrive(4);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason == refusal_reason::queue_full);
}

TEST_CASE("tenants share the slots by weight when all have work waiting") {
    // One tenant floods the service. Without shares, those that ask for a few
    // requests would wait behind all of its own.
    scheduler_fixture f(1, 1, 1);
    request_id next = 1;
    f.arrive(next++);
    for (int i = 0; i < 200; ++i) {
        request_arrived event = f.request(next++, 60s);
        event.tenant = i < 100 ? "league" : "desk"; // shares 1 and 3
        f.send(event);
    }
    std::map<bool, int> served; // by whether "desk"
    request_id running = 1;
    for (int i = 0; i < 100; ++i) {
        f.finish(running);
        REQUIRE(f.all<start_request>().size() == 1);
        running = f.all<start_request>()[0].request;
        ++served[running > 101];
    }
    CHECK(served[true] >= 65);
    CHECK(served[true] <= 85);
}

TEST_CASE("a request that must not run twice waits for no stale view") {
    // The process woke up late and may act on an old view of the fleet.
    scheduler_fixture f(1, 1, 1);
    f.view.fresh = false;
    f.apply_view();
    request_arrived event = f.request(1);
    event.nature = request_nature::at_most_once;
    f.send(event);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason == refusal_reason::stale_view);
    f.arrive(2);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a hedge starts on a spare slot or not at all") {
    scheduler_fixture f(2, 1, 2);
    f.arrive(1);
    request_arrived hedge = f.request(2);
    hedge.only_if_spare = true;
    f.send(hedge);
    CHECK(f.all<start_request>().size() == 1);
    hedge.request = 3;
    f.send(hedge);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason == refusal_reason::no_spare_slot);
}

TEST_CASE("routes of former configurations leave room for new ones") {
    // Routes come and go all day. If those that are gone took the places of
    // new ones, the file's limits would no longer hold for these.
    scheduler_fixture f(1, 1, 1);
    for (int revision = 0; revision < 1200; ++revision) {
        route added;
        added.host = "h";
        added.kind.name = "route-" + std::to_string(revision);
        added.kind.queue_limit = 1;
        added.targets = {{"slate-view", 1}};
        configuration next = *f.view.config;
        next.routes = std::make_shared<const route_table>(
            std::vector<route>{std::move(added)});
        f.view.config = std::make_shared<const configuration>(next);
        f.apply_view();
    }
    std::size_t refused = 0;
    for (request_id id = 1; id <= 3; ++id) {
        request_arrived of_newest = f.request(id);
        of_newest.request_class = "route-1199";
        f.send(of_newest);
        refused += f.all<refuse_request>().size();
    }
    CHECK(refused == 1);
    CHECK(f.scheduler().queued() == 1);
}
