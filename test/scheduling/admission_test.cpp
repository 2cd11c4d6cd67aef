#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

TEST_CASE("a class is not thought slow for answers that waited unread") {
    // Guards against refusals as too late while servers are idle: a process
    // that stands still takes its own time for that of a server.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.now += 900ms;
    request_finished read_late;
    read_late.request = 1;
    read_late.service_time = 900ms;
    read_late.time_known = false;
    f.send(read_late);
    f.arrive(2);
    f.arrive(3, 800ms); // waits for the one slot
    CHECK(f.all<refuse_request>().empty());
    CHECK_FALSE(f.scheduler().slots()[0].straggler);
    CHECK(f.scheduler().slots()[0].slowness < 1.1);
}

TEST_CASE("a request that would complete too late is refused at once") {
    // One slot serves a request in 20 ms, so that only the first few of many
    // requests with 200 ms left can be served. If the others were refused only
    // later, their callers would lose time in which they could try elsewhere.
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

TEST_CASE("refused requests are told to return at the rate of the slots") {
    // All devices wake on the hour. If refused callers were told the same time,
    // they would all return at once; if they were told longer times than
    // needed, the slots would be idle.
    scheduler_fixture f(1, 1, 1);
    std::set<duration> retry_times;
    for (request_id id = 1; id <= 130; ++id) {
        f.arrive(id, 200ms);
        for (const refuse_request& refused : f.all<refuse_request>()) {
            retry_times.insert(refused.retry_after);
        }
    }
    CHECK(retry_times.size() >= 120);
    const duration span = *retry_times.rbegin() - *retry_times.begin();
    CHECK(span == 20ms * (static_cast<int>(retry_times.size()) - 1));
}

TEST_CASE("retry times stay within the horizon and differ") {
    scheduler_fixture f(1, 1, 1);
    std::set<duration> retry_times;
    for (request_id id = 1; id <= 5000; ++id) {
        f.arrive(id, 200ms);
        for (const refuse_request& refused : f.all<refuse_request>()) {
            retry_times.insert(refused.retry_after);
            CHECK(refused.retry_after < 31s);
        }
    }
    CHECK(retry_times.size() > 4900);
}

TEST_CASE("with an idle slot no request is refused for its estimated time") {
    // An estimate that is too high is corrected only by further answers, so it
    // must not keep requests from free slots.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1, 1ms);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a request is not started after its deadline") {
    // The process did not run for a second. The slot is free again, but the
    // caller has given up.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2, 500ms);
    f.now += 1s;
    f.finish(1);
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<expire_request>().size() == 1);
    CHECK(f.all<expire_request>()[0].request == 2);
}

TEST_CASE("the most urgent queued request starts first") {
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2, 900ms);
    f.arrive(3, 500ms);
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 3);
}

TEST_CASE("the configured queue limit of a class is enforced") {
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

TEST_CASE("tenants get slots by weight when all have requests queued") {
    // One tenant floods the service. Without shares, the few requests of other
    // tenants would wait behind all of its requests.
    scheduler_fixture f(1, 1, 1);
    request_id next = 1;
    f.arrive(next++);
    for (int i = 0; i < 200; ++i) {
        request_arrived event = f.request(next++, 60s);
        event.tenant = i < 100 ? "league" : "desk"; // shares 1 and 3
        f.send(event);
    }
    std::map<bool, int> served; // true: of tenant "desk"
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

namespace {

// An instance with a stale view and a booking that waits for a fresh one.
scheduler_fixture waiting_booking(duration remaining = 1s) {
    scheduler_fixture f(2, 1, 2);
    f.view.fresh = false;
    f.apply_view();
    request_arrived event = f.request(1, remaining);
    event.nature = request_nature::at_most_once;
    f.send(event);
    return f;
}

} // namespace

TEST_CASE("an at-most-once request does not run while the view is stale") {
    // The process woke up late and its view of the fleet may be outdated.
    scheduler_fixture f = waiting_booking();
    CHECK(f.all<start_request>().empty());
    CHECK(f.all<refuse_request>().empty());
    f.arrive(2);
    CHECK(f.all<start_request>().size() == 1);
    f.pass(99ms);
    CHECK(f.all<start_request>().empty());
    CHECK(f.all<refuse_request>().empty());
    f.pass(1ms);
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason == refusal_reason::stale_view);
    CHECK(f.all<refuse_request>()[0].request == 1);
}

TEST_CASE("bookings that came while the process was stopped are served") {
    // Guards against 503 for all bookings that an instance finds on waking,
    // although a peer's answer is milliseconds away.
    scheduler_fixture f = waiting_booking();
    f.now += 5ms;
    f.view.fresh = true;
    f.apply_view();
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 1);
    f.pass(200ms);
    CHECK(f.all<refuse_request>().empty());
}

TEST_CASE("a booking whose caller has left is not run once the view is fresh") {
    // Guards against a payment for nobody.
    scheduler_fixture f = waiting_booking();
    f.send(request_cancelled{1});
    f.view.fresh = true;
    f.apply_view();
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("a booking that waits for a fresh view expires with its deadline") {
    // Guards against a call that is held for longer than its caller waits.
    scheduler_fixture f = waiting_booking(50ms);
    f.pass(50ms);
    CHECK(f.all<expire_request>().size() == 1);
    CHECK(f.all<start_request>().empty());
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

TEST_CASE("classes of removed routes leave room for those of new routes") {
    // Routes are added and removed all day, and the number of classes is
    // limited. If removed routes kept their places, the configured limits would
    // not be applied to new ones.
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
        request_arrived event = f.request(id);
        event.request_class = "route-1199";
        f.send(event);
        refused += f.all<refuse_request>().size();
    }
    CHECK(refused == 1);
    CHECK(f.scheduler().queued() == 1);
}
