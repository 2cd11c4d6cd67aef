#include <catch2/catch.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

using namespace std::chrono_literals;
using waxwingvale::time_point;
using waxwingvale::kernel::manual_clock;
using waxwingvale::kernel::timer_service;

TEST_CASE("a timer fires once when its delay has passed") {
    manual_clock time;
    timer_service timers(time);
    int calls = 0;
    const auto subscription = timers.after(5ms, [&](time_point) { ++calls; });
    time.advance(4ms);
    timers.fire_due();
    CHECK(calls == 0);
    time.advance(1ms);
    timers.fire_due();
    timers.fire_due();
    CHECK(calls == 1);
}

TEST_CASE("a periodic timer is called once after a long stop") {
    // The process is stopped for a minute and continues. Were each missed
    // period made up for, a user would see a burst of probes.
    manual_clock time;
    timer_service timers(time);
    int calls = 0;
    const auto subscription = timers.every(10ms, [&](time_point) { ++calls; });
    time.advance(60s);
    timers.fire_due();
    CHECK(calls == 1);
}

TEST_CASE("a timer may end its own subscription") {
    manual_clock time;
    timer_service timers(time);
    int calls = 0;
    timer_service::subscription subscription;
    subscription = timers.every(1ms, [&](time_point) {
        ++calls;
        subscription.cancel();
    });
    time.advance(1ms);
    timers.fire_due();
    time.advance(1ms);
    timers.fire_due();
    CHECK(calls == 1);
}
