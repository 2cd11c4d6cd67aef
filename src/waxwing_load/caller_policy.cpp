#include "waxwing_load/caller_policy.hpp"

namespace waxwingvale::load {

namespace {

constexpr unsigned too_many_requests = 429;
constexpr unsigned unavailable = 503;
constexpr unsigned bad_gateway = 502;
constexpr unsigned gateway_timeout = 504;

// Where an answer does not say when to come back.
constexpr duration default_wait = std::chrono::milliseconds(20);

// Where nobody answers the pauses double up to this: the addresses' next
// answer, which leaves a dead instance out, takes a while to come.
constexpr duration longest_wait = std::chrono::milliseconds(640);

duration pause_after(unsigned attempts) {
    auto wait = default_wait;
    for (unsigned i = 1; i < attempts && wait < longest_wait; ++i) {
        wait *= 2;
    }
    return wait;
}

bool is_success(unsigned status) {
    return status >= 200 && status < 300;
}

bool is_not_run(const attempt_result& result) {
    if (result.outcome) {
        return *result.outcome == run_outcome::not_run;
    }
    return result.status == unavailable || result.status == too_many_requests;
}

bool is_unknown(const attempt_result& result) {
    if (result.outcome) {
        return *result.outcome == run_outcome::unknown;
    }
    return result.status == bad_gateway || result.status == gateway_timeout;
}

caller_decision end_as(call_end how) {
    caller_decision decision;
    decision.end = how;
    return decision;
}

// Tries again after the wait when there is an attempt and time left.
caller_decision again_or(call_end otherwise, duration wait,
                         const call_progress& progress) {
    if (progress.attempts_left == 0 || wait >= progress.time_left) {
        return end_as(otherwise);
    }
    caller_decision decision;
    decision.wait = wait;
    return decision;
}

caller_decision after_silence(const attempt_result& result,
                              const call_progress& progress) {
    auto decision =
        again_or(call_end::lost, pause_after(progress.attempts), progress);
    decision.other_address = true;
    // A key that may have arrived stays: with a new one the call could run
    // twice. One that never left may go, and the new one names an instance
    // that answers.
    decision.new_key = !result.sent && !progress.ever_sent;
    return decision;
}

} // namespace

caller_decision decide(const attempt_result& result,
                       const call_progress& progress) {
    if (!result.answered) {
        return after_silence(result, progress);
    }
    if (!result.own) {
        return end_as(call_end::foreign);
    }
    if (is_success(result.status)) {
        return end_as(call_end::answered);
    }
    if (is_not_run(result)) {
        return again_or(call_end::refused,
                        result.retry_after.value_or(default_wait), progress);
    }
    if (!is_unknown(result)) {
        return end_as(call_end::failed);
    }
    if (progress.write && !result.retry_after) {
        return end_as(call_end::unknown);
    }
    return again_or(call_end::unknown,
                    result.retry_after.value_or(default_wait), progress);
}

} // namespace waxwingvale::load
