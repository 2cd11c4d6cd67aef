#pragma once

#include <optional>

#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

#include "waxwing_load/call_tally.hpp"

namespace waxwingvale::load {

// What a caller knows after one attempt.
struct attempt_result {
    bool answered = false; // a whole answer came
    bool own = true;       // and it is this request's
    bool sent = true;      // false: provably nothing left this process
    unsigned status = 0;
    std::optional<run_outcome> outcome; // as the answer states it
    std::optional<duration> retry_after;
};

// How far a call has come.
struct call_progress {
    bool write = false;
    unsigned attempts = 1; // made so far, this one included
    unsigned attempts_left = 0;
    duration time_left{};   // until the caller's deadline
    bool ever_sent = false; // some attempt may have arrived
};

// What the caller does next: ends the call, or tries again.
struct caller_decision {
    std::optional<call_end> end;
    duration wait{};            // before the next attempt
    bool other_address = false; // the next attempt goes to the next address
    bool new_key = false;       // the former key provably never left
};

// A well-behaved caller: comes back when it was told to, keeps its key as long
// as an attempt may have arrived, and never asks past its deadline.
caller_decision decide(const attempt_result& result,
                       const call_progress& progress);

} // namespace waxwingvale::load
