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

// The connection breaks after the first byte of a booking was sent. Sending the
// request again could book the official twice.
TEST_CASE("An at-most-once request is retried only if it never started") {
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

// A nested call fails at the tenth level. If every level made two attempts, the
// lowest level would receive a thousand requests for one.
TEST_CASE("Below the first level only unstarted attempts are retried") {
    retry_policy policy({});
    auto failed = failed_read();
    failed.nested = true;
    REQUIRE(reason_of(policy.on_failed(failed, start)) ==
            give_up_reason::nested);
    failed.outcome = run_outcome::not_run;
    REQUIRE(std::holds_alternative<retry_elsewhere>(
        policy.on_failed(failed, start)));
}

TEST_CASE("A retry that could not end before the deadline is not made") {
    retry_policy policy({});
    REQUIRE(
        reason_of(policy.on_failed(failed_read(), start + milliseconds(480))) ==
        give_up_reason::deadline);
}

// All backend servers fail at once. Without a budget each request would cause
// several attempts, just when there is the least capacity for them.
TEST_CASE("Retries stay below their fraction of first attempts") {
    retry_limits limits;
    limits.fraction = 0.1;
    limits.burst = 10;
    retry_policy policy(limits);
    unsigned retries = 0;
    for (unsigned call = 0; call < 10000; ++call) {
        policy.on_first_attempt();
        const auto decision = policy.on_failed(failed_read(), start);
        retries += std::holds_alternative<retry_elsewhere>(decision) ? 1 : 0;
    }
    REQUIRE(retries <= 1010);
    REQUIRE(retries >= 1000);
}

TEST_CASE("An attempt counts as not run only with proof") {
    attempt_facts facts;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::not_run);
    facts.sent_any_byte = true;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::unknown);
    facts.refused_before_start = true;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::not_run);
    facts.refused_before_start = false;
    facts.answer_complete = true;
    REQUIRE(outcome_of_attempt(facts) == run_outcome::ran);
}

TEST_CASE("A read is hedged after the 95% quantile of latencies") {
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

// Every slot is needed, as on the hour when all devices wake. A hedge would
// take the slot that the first attempt of another request waits for.
TEST_CASE("A hedge does not take the last free slot from a queued request") {
    hedge_policy policy({});
    auto candidate = slow_read();
    candidate.free_slots = 1;
    REQUIRE(std::holds_alternative<hedge_later>(
        policy.on_slow(candidate, start + milliseconds(100))));
    candidate.waiting = 0;
    REQUIRE(std::holds_alternative<hedge_now>(
        policy.on_slow(candidate, start + milliseconds(100))));
}

TEST_CASE("At-most-once requests and nested calls are never hedged") {
    hedge_policy policy({});
    auto booking = slow_read();
    booking.nature = request_nature::at_most_once;
    auto nested = slow_read();
    nested.nested = true;
    const auto late = start + milliseconds(100);
    REQUIRE(std::holds_alternative<no_hedge>(policy.on_slow(booking, late)));
    REQUIRE(std::holds_alternative<no_hedge>(policy.on_slow(nested, late)));
}

// An operator sets the fraction to 0, because hedges compete with first
// attempts. If the initial burst could still be spent, some hedges would be
// sent all the same.
TEST_CASE("A budget with fraction 0 allows no attempt, not even its burst") {
    attempt_budget none(0, 5);
    CHECK_FALSE(none.can_spend());
    CHECK_FALSE(none.try_spend());
    attempt_budget turned_off(0.1, 5);
    turned_off.change_fraction(0);
    CHECK_FALSE(turned_off.try_spend());
}

// All reads become slow at once, which hedging cannot remedy. Without a budget
// it would double the load.
TEST_CASE("Hedges stay below their fraction of first attempts") {
    hedge_policy policy({});
    unsigned hedges = 0;
    for (unsigned call = 0; call < 10000; ++call) {
        policy.on_first_attempt();
        const auto decision =
            policy.on_slow(slow_read(), start + milliseconds(100));
        hedges += std::holds_alternative<hedge_now>(decision) ? 1 : 0;
    }
    REQUIRE(hedges <= 505);
}
