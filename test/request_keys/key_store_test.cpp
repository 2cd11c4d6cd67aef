#include <catch2/catch.hpp>

#include <waxwingvale/decision/key_store.hpp>
#include <waxwingvale/decision/request_key.hpp>

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

key_effects ask(key_store& holder, key_store& asker,
                const key_decision& decision, time_point now) {
    const auto& request = std::get<ask_peer>(decision).request;
    const auto effects = holder.on_hand_over_request(request, now);
    const auto& reply = std::get<hand_over_reply>(effects.messages.at(0));
    return asker.on_hand_over_reply(reply, now);
}

} // namespace

TEST_CASE("A resend joins the attempt and then gets the same answer") {
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

TEST_CASE("A key reused for another request is refused") {
    key_store store(sea, start, {});
    store.on_request(key, booking, 1, start);
    const auto other = store.on_request(key, request_fingerprint{12}, 2, start);
    REQUIRE(std::holds_alternative<refuse_mismatch>(other));
}

TEST_CASE("Another entry instance runs a key only once it was handed over") {
    key_store holder(sea, start, {});
    key_store other(pdx, start, {});
    const auto first = other.on_request(key, booking, 1, start);
    const auto effects = ask(holder, other, first, start);
    REQUIRE(effects.settled.size() == 1);
    attempt_of(effects.settled[0].decision);
    // The late first copy finds the tombstone and is sent after the key.
    const auto late = holder.on_request(key, booking, 1, start);
    REQUIRE(std::get<ask_peer>(late).request.to == pdx);
}

TEST_CASE("A holder out of reach means unknown at once") {
    key_store other(pdx, start, {});
    other.on_request(key, booking, 1, start);
    const auto effects = other.on_hand_over_failed(key, false, start);
    REQUIRE(effects.settled.size() == 1);
    REQUIRE(std::get<report_unknown>(effects.settled[0].decision).come_back_in);
}

TEST_CASE("A key older than the memory never runs") {
    key_limits limits;
    limits.lifetime = seconds(60);
    key_store store(sea, start, limits);
    const auto late = start + seconds(61);
    REQUIRE(std::holds_alternative<refuse_expired>(
        store.on_request(key, booking, 1, late)));
    attempt_of(
        store.on_request(store.prefix(late) + ".phone.2", booking, 2, late));
}

TEST_CASE("A plain key is refused as not run, with the prefix to use") {
    key_store store(sea, start, {});
    const auto plain = store.on_request("abc", booking, 1, start);
    REQUIRE(std::get<refuse_key_form>(plain).prefix_to_use == "sea-1.7-0");
    REQUIRE(outcome_of(plain) == run_outcome::not_run);
    attempt_of(
        store.on_request(join_key("sea-1.7-0", "abc"), booking, 1, start));
}

// The member that runs a key dies after it said "in flight". Whoever waits
// asks again until the end comes, so that a caller is not left hanging; the
// repeated asking must not bring the answer twice.
TEST_CASE("Asking again while an attempt is in flight brings one reply") {
    key_store holder(sea, start, {});
    key_store other(pdx, start, {});
    const auto attempt = attempt_of(holder.on_request(key, booking, 1, start));
    const auto asked = other.on_request(key, booking, 2, start);
    const auto& request = std::get<ask_peer>(asked).request;
    for (int again = 0; again < 3; ++again) {
        const auto effects = holder.on_hand_over_request(request, start);
        const auto& reply = std::get<hand_over_reply>(effects.messages.at(0));
        REQUIRE(reply.kind == hand_over_kind::in_flight);
        other.on_hand_over_reply(reply, start);
        REQUIRE(other.asking(key));
    }
    const auto ended = holder.on_finished(key, attempt, run_outcome::ran,
                                          answer_of("booked"), start);
    REQUIRE(ended.messages.size() == 1);
    const auto settled = other.on_hand_over_reply(
        std::get<hand_over_reply>(ended.messages[0]), start);
    REQUIRE(settled.settled.size() == 1);
    REQUIRE_FALSE(other.asking(key));
}
