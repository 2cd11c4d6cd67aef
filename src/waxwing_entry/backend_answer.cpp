#include "waxwing_entry/backend_answer.hpp"

#include <cstdlib>

#include "waxwing_entry/caller_call.hpp"

namespace waxwingvale::entry {

namespace {

constexpr unsigned first_server_error = 500;
constexpr unsigned service_unavailable = 503;

bool says_not_started(const io::http_response& response) {
    const auto* mark = io::find_header(response.headers, header::not_started);
    return response.status == service_unavailable && mark != nullptr &&
           *mark == "1";
}

void read_self_report(const io::http_response& response, backend_answer& into) {
    const auto* incarnation =
        io::find_header(response.headers, header::backend_incarnation);
    if (incarnation != nullptr) {
        into.incarnation = std::strtoull(incarnation->c_str(), nullptr, 10);
    }
    const auto* state =
        io::find_header(response.headers, header::backend_state);
    if (state != nullptr && *state == "leaving") {
        into.state = backend_state::leaving;
    } else if (state != nullptr && *state == "serving") {
        into.state = backend_state::serving;
    }
}

backend_answer classify_answer(const io::http_response& response) {
    backend_answer read;
    read_self_report(response, read);
    if (says_not_started(response)) {
        read.end = attempt_end::not_started;
        read.outcome = run_outcome::not_run;
        return read;
    }
    read.end = response.status < first_server_error ? attempt_end::answered
                                                    : attempt_end::failed;
    read.outcome = run_outcome::ran;
    return read;
}

} // namespace

backend_answer classify(const io::http_call_result& ended) {
    if (ended.response.has_value()) {
        return classify_answer(ended.response.value());
    }
    backend_answer read;
    if (!ended.sent) {
        read.end = attempt_end::not_sent;
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

} // namespace waxwingvale::entry
