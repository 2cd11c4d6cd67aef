#include <catch2/catch.hpp>

#include <waxwingvale/decision/reach_monitor.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};
constexpr auto lost = failure_kind::unanswered;

reach_monitor in_doubt() {
    reach_monitor made({});
    made.on_failure(lost, start);
    made.on_check_begun(start);
    return made;
}

reach_monitor partitioned() {
    auto made = in_doubt();
    made.on_peer_in_touch(start + 2ms);
    made.on_check_failed(start + 3ms);
    return made;
}

// Servers answer each check from that moment on.
time_point answered_from(reach_monitor& by, time_point now) {
    constexpr duration longest = 20s;
    const auto until = now + longest;
    while (by.reach() == backend_reach::partitioned && now < until) {
        if (by.wants_check(now)) {
            by.on_check_begun(now);
            by.on_answer(now, now + 1ms);
        }
        now += 10ms;
    }
    return now;
}

} // namespace

// Guards against verdicts on servers by an instance that reaches none.
TEST_CASE("a failure is open until a server answers a new connection") {
    auto monitor = in_doubt();
    CHECK(monitor.holds());
    CHECK(monitor.on_failure(lost, start + 1ms) == failure_meaning::open);
    // On a connection that was there before: it may live on in a partition.
    monitor.on_answer(start - 1s, start + 2ms);
    CHECK(monitor.holds());
    monitor.on_answer(start, start + 3ms);
    CHECK(monitor.reach() == backend_reach::in_touch);
    CHECK(monitor.settled_as() == failure_meaning::of_server);
    CHECK(monitor.on_failure(lost, start + 10ms) == failure_meaning::of_server);
    CHECK(monitor.on_failure(lost, start + 1s) == failure_meaning::open);
}

// Guards against an end that is told to all in the first moment of a partition.
TEST_CASE(
    "a connection that does not come about is open whatever came before") {
    auto monitor = in_doubt();
    monitor.on_answer(start, start + 3ms);
    REQUIRE(monitor.on_failure(lost, start + 5ms) ==
            failure_meaning::of_server);
    CHECK(monitor.on_failure(failure_kind::unconnected, start + 6ms) ==
          failure_meaning::open);
}

// Guards against a partition that is seen where servers are down or slow.
TEST_CASE("only a peer that servers answer shows a partition") {
    const bool peer_answered = GENERATE(true, false);
    const bool failed_at_once = GENERATE(true, false);
    auto monitor = in_doubt();
    if (failed_at_once) {
        monitor.on_check_failed(start + 5ms);
    }
    if (peer_answered) {
        monitor.on_peer_in_touch(start + 10ms);
    }
    monitor.tick(start + 300ms);
    if (peer_answered) {
        CHECK(monitor.reach() == backend_reach::partitioned);
        CHECK(monitor.settled_as() == failure_meaning::of_partition);
    } else {
        CHECK(monitor.reach() == backend_reach::in_touch);
        CHECK(monitor.settled_as() == failure_meaning::unproven);
    }
}

// Guards against requests that wait in vain while all servers are down.
TEST_CASE("nothing waits for a check while the last one settled nothing") {
    auto monitor = in_doubt();
    monitor.tick(start + 300ms);
    CHECK(monitor.on_failure(lost, start + 400ms) == failure_meaning::unproven);
    CHECK_FALSE(monitor.wants_check(start + 400ms));
    CHECK(monitor.on_failure(lost, start + 2s) == failure_meaning::unproven);
    CHECK(monitor.wants_check(start + 2s));
    CHECK_FALSE(monitor.holds());
    monitor.on_check_begun(start + 2s);
    monitor.on_answer(start + 2s, start + 2001ms);
    CHECK(monitor.reach() == backend_reach::in_touch);
    CHECK(monitor.on_failure(lost, start + 4s) == failure_meaning::open);
}

// Guards against requests that are sent in vain by an instance that starts
// partitioned, before it has a link to the peer that shows so.
TEST_CASE("an instance that nobody has answered refuses while it has no peer") {
    reach_monitor monitor({});
    monitor.on_failure(lost, start);
    monitor.on_check_begun(start, false);
    monitor.on_check_failed(start + 5ms);
    CHECK(monitor.holds());
    CHECK_FALSE(monitor.refuses());
    monitor.tick(start + 260ms);
    CHECK(monitor.refuses());
    CHECK(monitor.settled_as() == failure_meaning::unproven);
    CHECK(monitor.on_failure(lost, start + 260ms) == failure_meaning::unproven);
    REQUIRE(monitor.wants_check(start + 260ms));
    monitor.on_check_begun(start + 260ms, false);
    CHECK(monitor.refuses());
    const bool by_peer = GENERATE(true, false);
    if (by_peer) {
        monitor.on_check_failed(start + 265ms);
        monitor.on_peer_in_touch(start + 300ms);
        CHECK(monitor.reach() == backend_reach::partitioned);
    } else {
        monitor.on_answer(start + 261ms, start + 262ms);
        CHECK(monitor.reach() == backend_reach::in_touch);
        CHECK(monitor.settled_as() == failure_meaning::of_server);
    }
    CHECK_FALSE(monitor.refuses());
}

// Guards against a refusal of all where servers are down, or have no health to
// tell, and where a link is lost later.
TEST_CASE("nothing is refused for want of peers for long, or later") {
    const bool answered_before = GENERATE(true, false);
    const bool linked = GENERATE(true, false);
    reach_monitor monitor({});
    if (answered_before) {
        monitor.on_answer(start - 1s, start - 1s);
    }
    monitor.on_failure(failure_kind::unconnected, start);
    auto now = start;
    for (; now < start + 3s; now += 20ms) {
        if (monitor.wants_check(now)) {
            monitor.on_check_begun(now, linked);
        }
        monitor.tick(now);
        if (answered_before || linked) {
            CHECK_FALSE(monitor.refuses());
        }
    }
    CHECK(monitor.reach() == backend_reach::in_touch);
    CHECK_FALSE(monitor.refuses());
    CHECK(monitor.on_failure(lost, now) == failure_meaning::unproven);
}

// Guards against a question of a peer that holds up requests here.
TEST_CASE("a peer's question begins a check for which nothing waits") {
    reach_monitor monitor({});
    monitor.on_question(start);
    CHECK(monitor.wants_check(start));
    CHECK_FALSE(monitor.holds());
    monitor.on_check_begun(start);
    monitor.on_check_failed(start + 2ms);
    monitor.on_peer_in_touch(start + 3ms);
    CHECK(monitor.reach() == backend_reach::partitioned);
}

// Guards against a partition that comes and goes, each time with requests lost.
TEST_CASE("a partitioned instance returns later each time that it does not "
          "last") {
    auto monitor = partitioned();
    REQUIRE(monitor.reach() == backend_reach::partitioned);
    CHECK(monitor.on_failure(lost, start + 10ms) ==
          failure_meaning::of_partition);
    const auto first = answered_from(monitor, start + 1s);
    REQUIRE(monitor.reach() == backend_reach::in_touch);
    CHECK(first - (start + 1s) < 1s);
    auto again = first + 5s;
    duration before{};
    for (int times = 0; times < 3; ++times) {
        monitor.on_failure(lost, again);
        monitor.on_check_begun(again);
        monitor.on_peer_in_touch(again);
        monitor.on_check_failed(again + 1ms);
        REQUIRE(monitor.reach() == backend_reach::partitioned);
        const auto back = answered_from(monitor, again + 1s);
        CHECK(back - again > before);
        before = back - again;
        again = back + 1s;
    }
}

// Guards against a return while only some of the servers answer at times.
TEST_CASE("a check that fails begins the return anew") {
    auto monitor = partitioned();
    for (auto at = start + 300ms; at < start + 5s; at += 300ms) {
        REQUIRE(monitor.wants_check(at));
        monitor.on_check_begun(at);
        const bool answered = (at - start) / 300ms % 2 == 0;
        if (answered) {
            monitor.on_answer(at, at + 1ms);
        } else {
            monitor.on_check_failed(at + 1ms);
        }
        CHECK(monitor.reach() == backend_reach::partitioned);
    }
}
