#include <catch2/catch.hpp>
#include <thread>

#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/kernel/turn_meter.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

// Guards against work that holds the loop and that nobody is told of.
TEST_CASE("the longest turn of a loop is measured, its waits are not") {
    kernel::event_loop loop;
    const kernel::monotonic_clock time;
    kernel::timer_service timers(time, loop);
    kernel::turn_meter meter(loop, time);
    auto timer = timers.after(200ms, [](time_point) {});
    loop.run_once(true);
    loop.run_once(false);
    const auto idle = meter.take_longest();
    CHECK(idle < 150ms);
    timer = timers.after(1ms, [&loop](time_point) {
        std::this_thread::sleep_for(60ms);
        loop.defer([] { std::this_thread::sleep_for(60ms); });
    });
    loop.run_once(true);
    loop.run_once(false);
    CHECK(meter.take_longest() >= 120ms);
    CHECK(meter.take_longest() == 0ms);
}
