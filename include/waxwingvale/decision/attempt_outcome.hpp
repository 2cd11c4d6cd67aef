#pragma once

#include <waxwingvale/model/outcome.hpp>

namespace waxwingvale::decision {

// What was seen of one attempt at a backend server, when it is over.
struct attempt_facts {
    bool sent_any_byte = false;        // the connection took a first byte
    bool whole_answer = false;         // an answer came, to its last byte
    bool refused_before_start = false; // the backend server says it never began
    bool cancelled_before_start = false; // it confirms it dropped it unstarted
};

// "Not run" only with proof: no byte was sent, or the backend server itself
// said that it never started. Everything else without a whole answer is
// unknown, however quickly the connection broke.
run_outcome outcome_of_attempt(const attempt_facts& facts);

} // namespace waxwingvale::decision
