#include <waxwingvale/entry/lost_attempt.hpp>

namespace waxwingvale::entry {

backend_answer lost_attempt(const forwarding::backend_result& ended) {
    backend_answer read;
    if (!ended.sent) {
        // A full limit of this process must not count as a server's death:
        // all instances would be told, and stop using it.
        const auto code = ended.response.error().code;
        const bool by_us = code == error_code::resource_exhausted ||
                           code == error_code::cancelled;
        read.end = by_us                           ? attempt_end::held_back
                   : code == error_code::timed_out ? attempt_end::unreachable
                                                   : attempt_end::not_sent;
        read.outcome = run_outcome::not_run;
        return read;
    }
    // Once a byte has left, the request may have run: a lost answer looks
    // just like a lost request.
    const bool late = ended.response.error().code == error_code::timed_out;
    read.end = late ? attempt_end::timed_out : attempt_end::broken;
    read.outcome = run_outcome::unknown;
    return read;
}

own_answer lost_answer(const backend_answer& answer) {
    own_answer lost;
    lost.outcome = answer.outcome;
    lost.reason = "backend-server-refused";
    const bool had_room = answer.load && !answer.load->full();
    lost.retry_after = had_room ? retry_after_refusal : retry_after_default;
    if (answer.outcome != run_outcome::unknown) {
        return lost;
    }
    const bool late = answer.end == attempt_end::timed_out;
    lost.status = late ? status::gateway_timeout : status::bad_gateway;
    lost.reason = "answer-lost";
    return lost;
}

} // namespace waxwingvale::entry
