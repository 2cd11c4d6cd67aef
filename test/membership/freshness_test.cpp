#include <catch2/catch.hpp>

#include <waxwingvale/membership/freshness.hpp>

using namespace std::chrono_literals;
using waxwingvale::time_point;
using waxwingvale::membership::freshness;

TEST_CASE(
    "an answer that may have waited during a stop is as old as the stop") {
    // Guards against word of the platform that counts as new because it is read
    // after a late wake-up, and proves a configuration that was replaced since.
    time_point now{1h};
    freshness fresh(500ms, now);
    const auto before = fresh.epoch();
    CHECK(fresh.longest_wait_of(before) == 0s);
    now += 1100ms;
    REQUIRE(fresh.beat(now));
    CHECK(fresh.longest_wait_of(before) == 1100ms);
    CHECK(fresh.longest_wait_of(fresh.epoch()) == 0s);
}

TEST_CASE("the platform's word is enough although late wake-ups go on") {
    // Guards against bookings that never run on an instance that runs in slices
    // and has no peer that answers: the wait for one began anew each time.
    time_point now{1h};
    freshness fresh(500ms, now);
    fresh.record_peer_answer(fresh.epoch());
    REQUIRE(fresh.fresh());
    now += 1100ms;
    REQUIRE(fresh.beat(now));
    fresh.hear_platform(fresh.epoch());
    fresh.settle(true, now);
    CHECK_FALSE(fresh.fresh());
    now += 1100ms;
    REQUIRE(fresh.beat(now));
    fresh.settle(true, now);
    CHECK_FALSE(fresh.fresh()); // nothing has been asked since
    fresh.hear_platform(fresh.epoch());
    fresh.settle(true, now);
    CHECK(fresh.fresh());
}
