#include <catch2/catch.hpp>
#include <waxwingvale/decision/late_wakeup.hpp>

using namespace std::chrono_literals;
using waxwingvale::time_point;
using waxwingvale::decision::late_wakeup;

TEST_CASE("a process that was stopped notices it once, before it acts") {
    // The machine freezes an entry instance for two seconds. Without notice
    // it would hand a booking to a backend server that has left meanwhile.
    late_wakeup guard(500ms);
    time_point now{};
    CHECK_FALSE(guard.noticed(now));
    now += 50ms;
    CHECK_FALSE(guard.noticed(now));
    now += 2s;
    CHECK(guard.noticed(now));
    CHECK_FALSE(guard.noticed(now));
}
