#pragma once

#include <waxwingvale/model/outcome.hpp>

namespace waxwingvale::decision {

// What the instance observed of one attempt at a backend server by its end.
struct attempt_facts {
    bool sent_any_byte = false;   // at least one byte was written
    bool answer_complete = false; // the answer arrived up to its last byte
    // The backend server reported that it refused the request before starting.
    bool refused_before_start = false;
    // The backend server confirmed that it cancelled the request unstarted.
    bool cancelled_before_start = false;
};

// Returns not_run only with proof: no byte was sent, or the backend server
// itself reported that it never started the request. Every other attempt
// without a complete answer is unknown, however soon the connection broke.
run_outcome outcome_of_attempt(const attempt_facts& facts);

} // namespace waxwingvale::decision
