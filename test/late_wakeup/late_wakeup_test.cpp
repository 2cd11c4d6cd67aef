#include <catch2/catch.hpp>
#include <waxwingvale/decision/late_wakeup.hpp>

using namespace std::chrono_literals;
using waxwingvale::time_point;
using waxwingvale::decision::late_wakeup;

// Guards against requests to backend servers that left while the entry instance
// was suspended. Here the machine suspends it for two seconds.
TEST_CASE("A suspension of the process is detected exactly once") {
    late_wakeup detector(500ms);
    time_point now{};
    CHECK_FALSE(detector.detect(now));
    now += 50ms;
    CHECK_FALSE(detector.detect(now));
    now += 2s;
    CHECK(detector.detect(now));
    CHECK_FALSE(detector.detect(now));
}
