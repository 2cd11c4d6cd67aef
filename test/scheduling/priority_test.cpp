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
    request_arrived event = f.request(id);
    event.priority = priority;
    event.target = f.now + target;
    return event;
}

// One slot, and enough answers to know that requests take 20 ms.
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

TEST_CASE("queued requests of higher priority start first") {
    // Reads and bookings share the servers, and bookings have the longer
    // target. By urgency alone each read would start before them, and at one
    // and a half times the capacity every other booking was answered too late.
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

TEST_CASE("a read that higher priorities leave no slot is refused at once") {
    // Bookings alone keep the only slot busy. A read that was admitted would
    // miss its target in the queue, while its caller could try elsewhere.
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

TEST_CASE("no priority is starved of slots") {
    // Bookings keep arriving at a rate that fills every slot. By priority
    // alone, reads admitted before them would wait until they expire.
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
    // Overloads of 1.6 times the capacity for three seconds, and of 1.5 and 3
    // times for ten. Bookings have the higher priority, so their answers must
    // not earn a smaller share of their value than those of reads; and reads
    // must not be starved.
    for (const char* scenario : {"rush", "surge-1.5x", "surge-3x"}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const auto load = replay::make_workload(
                scenario, replay::size_of("mixed-shared"), seed, 10s);
            const auto figures =
                replay::run_one(load, replay::waxwing_policy_name, {});
            REQUIRE(figures.worth_by_class.size() == 2);
            const double reads = figures.worth_by_class[0];
            const double bookings = figures.worth_by_class[1];
            INFO(scenario << ": reads " << reads << ", bookings " << bookings);
            CHECK(bookings >= reads);
            CHECK(reads >= figures.worth / 4);
        }
    }
}
