#include <catch2/catch.hpp>

#include <waxwingvale/decision/idempotency_key.hpp>
#include <waxwingvale/decision/key_store.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;
using std::chrono::seconds;

namespace {

const member_id sea{"sea-1", 7};
const member_id pdx{"pdx-1", 9};
const request_fingerprint booking{11};
const time_point start{};
const std::string key = "sea-1.7-0.phone.1";

answer_ptr answer_of(const std::string& body) {
    return std::make_shared<const whole_answer>(whole_answer{200, {}, body});
}

std::uint64_t attempt_of(const key_decision& decision) {
    REQUIRE(std::holds_alternative<run_here>(decision));
    return std::get<run_here>(decision).attempt;
}

key_effects hand_over(key_store& holder, key_store& requester,
                      const key_decision& decision, time_point now) {
    const auto& request = std::get<ask_peer>(decision).request;
    const auto effects = holder.on_hand_over_request(request, now);
    const auto& reply = std::get<hand_over_reply>(effects.messages.at(0));
    return requester.on_hand_over_reply(reply, now);
}

} // namespace

TEST_CASE("A resend joins the running attempt and gets the same answer") {
    key_store store(sea, start, {});
    const auto attempt = attempt_of(store.on_request(key, booking, 1, start));
    REQUIRE(std::holds_alternative<join_attempt>(
        store.on_request(key, booking, 2, start)));
    const auto answer = answer_of("booked");
    const auto effects =
        store.on_finished(key, attempt, run_outcome::ran, answer, start);
    REQUIRE(effects.settled.size() == 1);
    REQUIRE(effects.settled[0].waiter == 2);
    REQUIRE(std::get<replay_answer>(effects.settled[0].decision).answer ==
            answer);
    const auto resent = store.on_request(key, booking, 3, start);
    REQUIRE(std::get<replay_answer>(resent).answer == answer);
}

TEST_CASE("A key that is reused for another request is refused") {
    key_store store(sea, start, {});
    store.on_request(key, booking, 1, start);
    const auto other = store.on_request(key, request_fingerprint{12}, 2, start);
    REQUIRE(std::holds_alternative<refuse_mismatch>(other));
}

TEST_CASE("Another entry instance runs a request only after a hand-over") {
    key_store holder(sea, start, {});
    key_store other(pdx, start, {});
    const auto first = other.on_request(key, booking, 1, start);
    const auto effects = hand_over(holder, other, first, start);
    REQUIRE(effects.settled.size() == 1);
    attempt_of(effects.settled[0].decision);
    // The holder redirects a late copy to the member that now has the key.
    const auto late = holder.on_request(key, booking, 1, start);
    REQUIRE(std::get<ask_peer>(late).request.to == pdx);
}

TEST_CASE("The outcome is unknown at once if the holder is unreachable") {
    key_store other(pdx, start, {});
    other.on_request(key, booking, 1, start);
    const auto effects = other.on_hand_over_failed(key, false, start);
    REQUIRE(effects.settled.size() == 1);
    REQUIRE(std::get<report_unknown>(effects.settled[0].decision).retry_after);
}

TEST_CASE("A request whose key has expired is not run") {
    key_limits limits;
    limits.lifetime = seconds(60);
    key_store store(sea, start, limits);
    const auto late = start + seconds(61);
    REQUIRE(std::holds_alternative<refuse_expired>(
        store.on_request(key, booking, 1, late)));
    attempt_of(
        store.on_request(store.prefix(late) + ".phone.2", booking, 2, late));
}

TEST_CASE("A plain key is refused as not run with the prefix to use") {
    key_store store(sea, start, {});
    const auto plain = store.on_request("abc", booking, 1, start);
    REQUIRE(std::get<refuse_key_form>(plain).prefix_to_use == "sea-1.7-0");
    REQUIRE(outcome_of(plain) == run_outcome::not_run);
    attempt_of(
        store.on_request(prefixed_key("sea-1.7-0", "abc"), booking, 1, start));
}

// Guards against a duplicated answer: a member that was told "in flight"
// repeats its hand-over request until the attempt ends, because otherwise its
// callers would wait for ever if the running member died. The repetitions must
// bring the answer only once.
TEST_CASE("Repeated hand-over requests during an attempt bring one answer") {
    key_store holder(sea, start, {});
    key_store other(pdx, start, {});
    const auto attempt = attempt_of(holder.on_request(key, booking, 1, start));
    const auto decision = other.on_request(key, booking, 2, start);
    const auto& request = std::get<ask_peer>(decision).request;
    for (int repetition = 0; repetition < 3; ++repetition) {
        const auto effects = holder.on_hand_over_request(request, start);
        const auto& reply = std::get<hand_over_reply>(effects.messages.at(0));
        REQUIRE(reply.kind == hand_over_kind::in_flight);
        other.on_hand_over_reply(reply, start);
        REQUIRE(other.awaits_hand_over(key));
    }
    const auto ended = holder.on_finished(key, attempt, run_outcome::ran,
                                          answer_of("booked"), start);
    REQUIRE(ended.messages.size() == 1);
    const auto settled = other.on_hand_over_reply(
        std::get<hand_over_reply>(ended.messages[0]), start);
    REQUIRE(settled.settled.size() == 1);
    REQUIRE_FALSE(other.awaits_hand_over(key));
}
