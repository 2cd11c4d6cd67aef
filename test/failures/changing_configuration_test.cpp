#include <catch2/catch.hpp>
#include <csignal>

#include "standin/changing_fleet.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using standin::changing_fleet;

namespace {

// Longer than it may take until every file is in force, and until all counts
// again on an instance that was disturbed.
constexpr duration caught_up = 2200ms;
constexpr duration recovered = 3100ms;

void check(changing_fleet& running) {
    INFO(running.describe());
    CHECK(running.seen().faults == 0);
    CHECK(running.seen().served > 1000);
    CHECK(running.seen().polls > 100);
}

void freeze(changing_fleet& running, unsigned instance, duration time) {
    running.begin_trouble(instance);
    running.fleet().process(instance).signal(SIGSTOP);
    running.go_on(time);
    running.fleet().process(instance).signal(SIGCONT);
    running.end_trouble(instance);
}

} // namespace

TEST_CASE("instances that fail and come back turn no proper request away") {
    // Guards against old routes, or none, on instances that were killed or
    // stopped, or whose reader was, while the configuration changes often.
    changing_fleet running(5, 250ms, 1);
    running.start();
    const auto reader = running.reader();
    const auto other = running.other_than(reader);
    running.kill(other);
    running.start_again(other);
    freeze(running, running.other_than(other), 1s);
    running.go_on(recovered);
    running.kill(reader);
    running.go_on(caught_up);
    running.start_again(reader);
    running.go_on(recovered);
    check(running);
}

TEST_CASE("a platform that is silent or stale takes no route away") {
    // Guards against old routes for longer than the platform's trouble.
    changing_fleet running(5, 250ms, 2);
    running.start();
    const auto reader = running.reader();
    running.begin_trouble(reader);
    running.fleet().relay_platform(reader, "blackhole");
    running.go_on(3s);
    running.fleet().relay_platform(reader, "pass");
    running.end_trouble(reader);
    running.fleet().fault("mode=stale&ago=1");
    running.go_on(1s);
    running.fleet().fault("mode=up");
    running.go_on(caught_up);
    running.begin_trouble_everywhere();
    for (unsigned each = 0; each < running.fleet().size(); ++each) {
        running.fleet().relay_platform(each, "blackhole");
    }
    running.go_on(3s);
    for (unsigned each = 0; each < running.fleet().size(); ++each) {
        running.fleet().relay_platform(each, "pass");
    }
    running.end_trouble_everywhere();
    running.go_on(recovered);
    check(running);
}

TEST_CASE("changes ten times a second are in force on every instance") {
    // Guards against waits that each change begins anew, on instances that have
    // read the platform for a while, and while links are replaced.
    changing_fleet running(5, 100ms, 3);
    running.start();
    const auto reader = running.reader();
    running.begin_trouble(reader);
    running.fleet().relay_platform(reader, "blackhole");
    running.go_on(1500ms);
    running.fleet().relay_seeds("drop");
    running.go_on(300ms);
    running.fleet().relay_seeds("pass");
    running.fleet().relay_platform(reader, "pass");
    running.end_trouble(reader);
    running.go_on(recovered);
    check(running);
}
