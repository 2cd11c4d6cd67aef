#include <waxwingvale/decision/attempt_outcome.hpp>

namespace waxwingvale::decision {

run_outcome outcome_of_attempt(const attempt_facts& facts) {
    if (!facts.sent_any_byte || facts.refused_before_start ||
        facts.cancelled_before_start) {
        return run_outcome::not_run;
    }
    return facts.answer_complete ? run_outcome::ran : run_outcome::unknown;
}

} // namespace waxwingvale::decision
