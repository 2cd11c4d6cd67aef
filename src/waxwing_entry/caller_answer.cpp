#include "waxwing_entry/caller_answer.hpp"

#include <algorithm>

#include "waxwing_entry/caller_call.hpp"

namespace waxwingvale::entry {

namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

void add_retry_after(io::http_response& into, duration come_back_in) {
    // Retry-After knows whole seconds only; a caller that comes back early
    // would be refused again, so it is rounded up.
    const auto whole =
        std::max<seconds>(ceil<seconds>(come_back_in), seconds(1));
    const auto exact = ceil<milliseconds>(come_back_in);
    into.headers.push_back(
        {header::retry_after, std::to_string(whole.count())});
    into.headers.push_back(
        {header::retry_after_ms, std::to_string(exact.count())});
}

} // namespace

io::http_response render(const own_answer& answer) {
    io::http_response rendered;
    rendered.status = answer.status;
    rendered.headers = {{"Content-Type", "text/plain"},
                        {header::outcome, to_string(answer.outcome)},
                        {header::reason, answer.reason}};
    if (answer.come_back_in) {
        add_retry_after(rendered, *answer.come_back_in);
    }
    rendered.body = answer.reason;
    if (!answer.detail.empty()) {
        rendered.body += ": " + answer.detail;
    }
    rendered.body += "\n";
    return rendered;
}

own_answer lost_answer(const backend_answer& answer) {
    own_answer lost;
    lost.outcome = answer.outcome;
    lost.reason = "backend-server-refused";
    lost.come_back_in = come_back_default;
    if (answer.outcome != run_outcome::unknown) {
        return lost;
    }
    const bool late = answer.end == attempt_end::timed_out;
    lost.status = late ? status::gateway_timeout : status::bad_gateway;
    lost.reason = "answer-lost";
    return lost;
}

io::http_response pass_on(io::http_response answer) {
    answer.headers = io::end_to_end_headers(answer.headers);
    answer.headers.push_back({header::outcome, to_string(run_outcome::ran)});
    return answer;
}

} // namespace waxwingvale::entry
