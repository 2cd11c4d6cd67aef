#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"
#include "waxwing_replay/comparison.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

request_arrived of_priority(const scheduler_fixture& f, request_id id,
                            unsigned priority, duration target) {
    request_arrived made = f.request(id);
    made.priority = priority;
    made.target = f.now + target;
    return made;
}

// One slot, and requests of 20 ms that were seen often enough to be known.
scheduler_fixture one_slot() {
    scheduler_fixture f(1, 1, 1);
    for (request_id id = 100000; id < 100040; ++id) {
        f.arrive(id);
        f.now += 20ms;
        f.finish(id);
    }
    return f;
}

} // namespace

TEST_CASE("of requests that wait the higher priority goes first") {
    // Reads and bookings share the servers. A booking has the longer target, so
    // that by urgency alone each read would go before it, and at one and a half
    // times the capacity every other booking came too late.
    scheduler_fixture f = one_slot();
    f.send(of_priority(f, 1, 2, 900ms));
    f.send(of_priority(f, 2, 2, 500ms));
    f.send(of_priority(f, 3, 1, 900ms));
    f.now += 20ms;
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 3);
    f.now += 20ms;
    f.finish(3);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 2);
}

TEST_CASE("a read that bookings leave no room for is refused at once") {
    // Bookings alone keep the only slot busy. A read that were let in would
    // wait for its target in vain, and its caller could have gone elsewhere.
    scheduler_fixture f = one_slot();
    request_id next = 1;
    for (int i = 0; i < 40; ++i) {
        f.send(of_priority(f, next++, 1, 400ms));
        f.now += 10ms;
    }
    const request_id read = next++;
    f.send(of_priority(f, read, 2, 200ms));
    const auto refused = f.all<refuse_request>();
    CHECK(std::any_of(refused.begin(), refused.end(),
                      [&](const auto& each) { return each.request == read; }));
}

TEST_CASE("no priority is left without any slot") {
    // Bookings that come all the while are enough for every slot. Reads that
    // were let in before would wait until they are given up.
    scheduler_fixture f = one_slot();
    for (request_id id = 1; id <= 9; ++id) {
        f.send(of_priority(f, id, 2, 5s));
    }
    unsigned reads = 0;
    request_id running = 1;
    for (request_id id = 100; id < 132; ++id) {
        f.send(of_priority(f, id, 1, 5s));
        f.now += 20ms;
        f.finish(running);
        REQUIRE(f.all<start_request>().size() == 1);
        running = f.all<start_request>()[0].request;
        reads += running < 100 ? 1 : 0;
    }
    CHECK(reads >= 3);
    CHECK(reads <= 5);
}

TEST_CASE("above capacity bookings are served no worse than reads") {
    // Three seconds of 1.6 times what the slots can serve, and ten of 1.5
    // times. What callers get for bookings, which rank higher, must not be less
    // than what they get for reads, and reads must not be shut out.
    for (const char* scenario : {"rush", "surge-1.5x", "surge-3x"}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const auto load = replay::make_workload(
                scenario, replay::size_of("mixed-shared"), seed, 10s);
            const auto ours =
                replay::run_one(load, replay::waxwing_policy_name, {});
            REQUIRE(ours.worth_by_class.size() == 2);
            const double reads = ours.worth_by_class[0];
            const double bookings = ours.worth_by_class[1];
            INFO(scenario << ": reads " << reads << ", bookings " << bookings);
            CHECK(bookings >= reads);
            CHECK(reads >= ours.worth / 4);
        }
    }
}
