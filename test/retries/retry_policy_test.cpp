#include <catch2/catch.hpp>

#include <waxwingvale/decision/attempt_outcome.hpp>
#include <waxwingvale/decision/hedge_policy.hpp>
#include <waxwingvale/decision/retry_policy.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;
using std::chrono::milliseconds;

namespace {

const time_point start{};

failed_attempt failed_read() {
    failed_attempt failed;
    failed.nature = request_nature::retriable;
    failed.deadline = start + milliseconds(500);
    failed.expected = milliseconds(20);
    return failed;
}

give_up_reason reason_of(const retry_decision& decision) {
    REQUIRE(std::holds_alternative<give_up>(decision));
    return std::get<give_up>(decision).reason;
}

hedge_candidate slow_read() {
    hedge_candidate candidate;
    candidate.nature = request_nature::retriable;
    candidate.sent = start;
    candidate.deadline = start + milliseconds(500);
    candidate.free_slots = 2;
    candidate.waiting = 1;
    return candidate;
}

} // namespace

// The connection breaks after the first byte of a booking went out. Sending it
// again could book the official twice.
TEST_CASE("An at-most-once request is repeated only when it never started") {
    retry_policy policy({});
    auto failed = failed_read();
    failed.nature = request_nature::at_most_once;
    REQUIRE(reason_of(policy.on_failed(failed, start)) ==
            give_up_reason::may_have_run);
    failed.outcome = run_outcome::not_run;
    REQUIRE(
        std::get<retry_elsewhere>(policy.on_failed(failed, start)).attempt ==
        2);
}

// A call ten levels deep fails at the bottom. If every level repeated it
// twice, the bottom would see a thousand calls for one.
TEST_CASE("Below the first level only unstarted attempts are repeated") {
    retry_policy policy({});
    auto failed = failed_read();
    failed.nested = true;
    REQUIRE(reason_of(policy.on_failed(failed, start)) ==
            give_up_reason::nested);
    failed.outcome = run_outcome::not_run;
    REQUIRE(std::holds_alternative<retry_elsewhere>(
        policy.on_failed(failed, start)));
}

TEST_CASE("No attempt begins that cannot end before the deadline") {
    retry_policy policy({});
    REQUIRE(
        reason_of(policy.on_failed(failed_read(), start + milliseconds(480))) ==
        give_up_reason::deadline);
}

// Every backend server fails at once. Without a budget each call would turn
// into several, just when there is least room for them.
TEST_CASE("Retries stay a fraction of first attempts") {
    retry_limits limits;
    limits.fraction = 0.1;
    limits.burst = 10;
    retry_policy policy(limits);
    unsigned retries = 0;
    for (unsigned call = 0; call < 10000; ++call) {
        policy.on_first_attempt();
        const auto made = policy.on_failed(failed_read(), start);
        retries += std::holds_alternative<retry_elsewhere>(made) ? 1 : 0;
    }
    REQUIRE(retries <= 1010);
    REQUIRE(retries >= 1000);
}

TEST_CASE("Not run needs proof") {
    attempt_facts facts;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::not_run);
    facts.sent_any_byte = true;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::unknown);
    facts.refused_before_start = true;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::not_run);
    facts.refused_before_start = false;
    facts.whole_answer = true;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::ran);
}

TEST_CASE("A read is hedged once it is slower than most") {
    hedge_policy policy({});
    for (int call = 0; call < 1000; ++call) {
        policy.on_latency(milliseconds(call % 100 < 96 ? 10 : 200));
    }
    REQUIRE(policy.delay() >= milliseconds(10));
    REQUIRE(policy.delay() < milliseconds(13));
    const auto early = policy.on_slow(slow_read(), start + milliseconds(1));
    REQUIRE(std::get<hedge_later>(early).at == start + policy.delay());
    REQUIRE(std::holds_alternative<hedge_now>(
        policy.on_slow(slow_read(), start + milliseconds(20))));
}

// On the hour every slot is wanted. A second copy of one call would take the
// slot of another caller's first.
TEST_CASE("A hedge never takes the last free slot from a waiting call") {
    hedge_policy policy({});
    auto candidate = slow_read();
    candidate.free_slots = 1;
    REQUIRE(std::holds_alternative<hedge_later>(
        policy.on_slow(candidate, start + milliseconds(100))));
    candidate.waiting = 0;
    REQUIRE(std::holds_alternative<hedge_now>(
        policy.on_slow(candidate, start + milliseconds(100))));
}

TEST_CASE("Bookings and nested calls are never hedged") {
    hedge_policy policy({});
    auto booking = slow_read();
    booking.nature = request_nature::at_most_once;
    auto nested = slow_read();
    nested.nested = true;
    const auto late = start + milliseconds(100);
    REQUIRE(std::holds_alternative<no_hedge>(policy.on_slow(booking, late)));
    REQUIRE(std::holds_alternative<no_hedge>(policy.on_slow(nested, late)));
}

// All reads turn slow at once, which hedging cannot mend.
TEST_CASE("A budget of nothing allows nothing, from the start") {
    // An operator turns hedges off because each competes with a customer.
    // Were the saved-up burst spent first, some would be sent all the same.
    attempt_budget none(0, 5);
    CHECK_FALSE(none.can_spend());
    CHECK_FALSE(none.try_spend());
    attempt_budget turned_off(0.1, 5);
    turned_off.change_fraction(0);
    CHECK_FALSE(turned_off.try_spend());
}

TEST_CASE("Hedges stay a fraction of first attempts") {
    hedge_policy policy({});
    unsigned hedges = 0;
    for (unsigned call = 0; call < 10000; ++call) {
        policy.on_first_attempt();
        const auto made =
            policy.on_slow(slow_read(), start + milliseconds(100));
        hedges += std::holds_alternative<hedge_now>(made) ? 1 : 0;
    }
    REQUIRE(hedges <= 505);
}
