#include <waxwingvale/entry/lost_attempt.hpp>

namespace waxwingvale::entry {

namespace {

using decision::server_sign;

server_sign sign_of_unsent(error_code code) {
    switch (code) {
    case error_code::refused:
        return server_sign::not_listening;
    case error_code::timed_out:
        return server_sign::silent;
    default:
        return server_sign::none;
    }
}

// Bytes that are no answer come from something that runs.
server_sign sign_of_sent(error_code code) {
    switch (code) {
    case error_code::timed_out:
        return server_sign::silent;
    case error_code::unavailable:
        return server_sign::connection_lost;
    default:
        return server_sign::none;
    }
}

} // namespace

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
        read.sign = sign_of_unsent(code);
        return read;
    }
    // Once a byte has left, the request may have run: a lost answer looks
    // just like a lost request.
    const auto code = ended.response.error().code;
    const bool late = code == error_code::timed_out;
    read.sign = sign_of_sent(code);
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
    lost.reason = answer.end == attempt_end::refused_unproven
                      ? "refusal-unproven"
                      : "answer-lost";
    return lost;
}

} // namespace waxwingvale::entry
