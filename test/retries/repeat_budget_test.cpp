#include <catch2/catch.hpp>

#include <waxwingvale/decision/repeat_budget.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

constexpr duration window = 10s;
constexpr duration whole_past = window + repeat_budget::credit_lifetime;

repeat_limits limits_of(double extra, double instances) {
    return {window, 0.2, extra, instances};
}

unsigned spend_all(repeat_budget& from, time_point now) {
    unsigned spent = 0;
    while (from.try_spend(now, now)) {
        ++spent;
    }
    return spent;
}

} // namespace

TEST_CASE("a new process uses only what its own requests allow") {
    // Guards against extra repeats that a former process of its name may have
    // used as well.
    repeat_budget budget(limits_of(12, 4));
    const time_point start(100s);
    budget.hold_since(start);
    for (int each = 0; each < 10; ++each) {
        budget.on_request(start);
    }
    CHECK(spend_all(budget, start + 1s) == 2);
    CHECK(spend_all(budget, start + whole_past - 1ms) == 0);
    CHECK(spend_all(budget, start + whole_past) == 3);
}

TEST_CASE("a repeat counts from the moment at which it is sent") {
    // Guards against repeats that wait for a slot and arrive in a later window
    // than the one in which they were allowed.
    repeat_budget budget(limits_of(1, 1));
    const time_point start(100s);
    const auto charged = budget.try_spend(start, start + 4s);
    REQUIRE(charged);
    CHECK(!budget.try_spend(start + 11s, start + 11s));
    budget.on_sent(*charged, start + 2s);
    CHECK(!budget.try_spend(start + 11s, start + 11s));
    CHECK(budget.try_spend(start + 13s, start + 13s));
}

TEST_CASE("what is given to a peer is gone until nobody can use it") {
    // Guards against repeats that two instances send, each as its own.
    repeat_budget giver(limits_of(8, 1));
    repeat_budget taker(limits_of(0, 1));
    const time_point start(100s);
    const double given = giver.give(100, start);
    CHECK(given == Approx(4));
    taker.receive(given, start + repeat_budget::credit_lifetime);
    CHECK(spend_all(giver, start) == 4);
    CHECK(!taker.try_spend(start, start + 3s));
    CHECK(spend_all(taker, start + 1s) == 4);
    CHECK(spend_all(giver, start + window + 1s) == 4);
    CHECK(spend_all(giver, start + whole_past + 1s) == 4);
}

TEST_CASE("what peers give is lost when its time is up") {
    repeat_budget taker(limits_of(0, 1));
    const time_point start(100s);
    taker.receive(3, start + 2s);
    CHECK(taker.try_spend(start + 1s, start + 2s));
    CHECK(!taker.try_spend(start + 2s, start + 2s + 1ms));
}

TEST_CASE("parts of what two peers give make one repeat") {
    repeat_budget taker(limits_of(0, 1));
    const time_point start(100s);
    taker.receive(0.5, start + 2s);
    CHECK(!taker.try_spend(start, start + 1s));
    taker.receive(0.5, start + 2s);
    CHECK(taker.try_spend(start, start + 1s));
    CHECK(!taker.try_spend(start, start + 1s));
}
