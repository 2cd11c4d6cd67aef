#include <catch2/catch.hpp>

#include "waxwing_load/caller_policy.hpp"

using namespace waxwingvale;
using namespace waxwingvale::load;
using std::chrono::milliseconds;

namespace {

attempt_result answer(unsigned status, run_outcome outcome,
                      std::optional<duration> retry_after = std::nullopt) {
    attempt_result result;
    result.answered = true;
    result.status = status;
    result.outcome = outcome;
    result.retry_after = retry_after;
    return result;
}

attempt_result silence(bool sent) {
    attempt_result result;
    result.sent = sent;
    return result;
}

call_progress progress(bool write, unsigned attempts_left = 2) {
    call_progress so_far;
    so_far.write = write;
    so_far.attempts_left = attempts_left;
    so_far.time_left = milliseconds(1000);
    return so_far;
}

} // namespace

TEST_CASE("a refused caller comes back exactly when it was told to") {
    const auto decision = decide(
        answer(503, run_outcome::not_run, milliseconds(70)), progress(true));
    CHECK_FALSE(decision.end);
    CHECK(decision.wait == milliseconds(70));
    CHECK_FALSE(decision.new_key);
}

TEST_CASE("a caller does not come back past its deadline or attempts") {
    const auto late = decide(
        answer(503, run_outcome::not_run, milliseconds(1000)), progress(true));
    CHECK(late.end == call_end::refused);
    const auto used_up = decide(
        answer(503, run_outcome::not_run, milliseconds(1)), progress(true, 0));
    CHECK(used_up.end == call_end::refused);
}

TEST_CASE("a key that may have arrived is kept for every further attempt") {
    // The caller's connection breaks after its booking was sent. With a new
    // key the booking could be made a second time.
    auto so_far = progress(true);
    CHECK_FALSE(decide(silence(true), so_far).new_key);
    so_far.ever_sent = true;
    CHECK_FALSE(decide(silence(false), so_far).new_key);
    so_far.ever_sent = false;
    CHECK(decide(silence(false), so_far).new_key);
    CHECK(decide(silence(false), so_far).other_address);
}

TEST_CASE("an unknown outcome is asked about again only when told to") {
    CHECK(decide(answer(504, run_outcome::unknown), progress(true)).end ==
          call_end::unknown);
    CHECK_FALSE(decide(answer(504, run_outcome::unknown, milliseconds(10)),
                       progress(true))
                    .end);
    CHECK_FALSE(decide(answer(504, run_outcome::unknown), progress(false)).end);
}

TEST_CASE("pauses grow while nobody answers") {
    // An entry instance has died and stays in the addresses' answers for a
    // while. A caller that tried again at once would use up its attempts.
    auto so_far = progress(true);
    CHECK(decide(silence(false), so_far).wait == milliseconds(20));
    so_far.attempts = 3;
    CHECK(decide(silence(false), so_far).wait == milliseconds(80));
    so_far.attempts = 30;
    CHECK(decide(silence(false), so_far).wait == milliseconds(640));
}

TEST_CASE("ends are told apart") {
    CHECK(decide(answer(200, run_outcome::ran), progress(true)).end ==
          call_end::answered);
    CHECK(decide(answer(500, run_outcome::ran), progress(true)).end ==
          call_end::failed);
    CHECK(decide(silence(true), progress(true, 0)).end == call_end::lost);
    auto other = answer(200, run_outcome::ran);
    other.own = false;
    CHECK(decide(other, progress(false)).end == call_end::foreign);
}
