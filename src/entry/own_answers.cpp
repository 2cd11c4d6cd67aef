#include "entry/own_protocol.hpp"

#include <waxwingvale/entry/lost_attempt.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <strings.h>
#include <utility>

namespace waxwingvale::entry {

namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned first_server_error = 500;
constexpr unsigned service_unavailable = 503;

bool says_not_started(const io::http_response& response) {
    const auto* mark = io::find_header(response.headers, header::not_started);
    return response.status == service_unavailable && mark != nullptr &&
           *mark == "1";
}

// A decimal number that is not below zero, and nothing else.
std::optional<double> read_decimal(const std::string& text) {
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const bool whole = !text.empty() && *end == '\0';
    const bool usable = value >= 0 && std::isfinite(value);
    return whole && usable ? std::optional(value) : std::nullopt;
}

// What a server that turns a request away wants: nothing for so many seconds.
std::optional<duration> read_rest(const io::http_response& response) {
    constexpr double longest = 86400; // seconds
    const auto* text = io::find_header(response.headers, header::retry_after);
    if (response.status != service_unavailable || text == nullptr) {
        return std::nullopt;
    }
    const auto wanted = read_decimal(*text);
    if (!wanted) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(*wanted, longest)));
}

// An answer without a limit ends one; an answer whose limit makes no sense
// states no terms, unless it states others: then a limit known before ends.
std::optional<backend_terms> read_terms(const io::http_response& response) {
    backend_terms terms;
    const auto* state =
        io::find_header(response.headers, header::backend_state);
    terms.leaving = state != nullptr && *state == "leaving";
    terms.rest = read_rest(response);
    const auto* limit =
        io::find_header(response.headers, header::backend_limit);
    if (limit == nullptr) {
        return terms;
    }
    terms.requests_per_second = read_decimal(*limit);
    const bool makes_sense =
        terms.requests_per_second || terms.leaving || terms.rest;
    return makes_sense ? std::optional(terms) : std::nullopt;
}

void read_self_report(const io::http_response& response, backend_answer& into) {
    const auto* incarnation =
        io::find_header(response.headers, header::backend_incarnation);
    if (incarnation != nullptr) {
        into.incarnation = std::strtoull(incarnation->c_str(), nullptr, 10);
        into.named_incarnation = into.incarnation;
    }
    // An answer that does not name the start may be of another process.
    if (into.named_incarnation != 0) {
        into.sign = decision::server_sign::answered;
    }
    into.terms = read_terms(response);
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

void add_retry_after(io::http_response& into, duration retry_after) {
    // Retry-After knows whole seconds only; a caller that comes back early
    // would be refused again, so it is rounded up.
    const auto whole =
        std::max<seconds>(ceil<seconds>(retry_after), seconds(1));
    const auto exact = ceil<milliseconds>(retry_after);
    into.headers.push_back(
        {header::retry_after, std::to_string(whole.count())});
    into.headers.push_back(
        {header::retry_after_ms, std::to_string(exact.count())});
}

} // namespace

backend_answer
own_protocol::classify(const forwarding::backend_result& ended) const {
    if (ended.response.has_value()) {
        return classify_answer(ended.response.value());
    }
    auto lost = lost_attempt(ended);
    if (ended.partial) {
        lost.terms = read_terms(*ended.partial);
    }
    return lost;
}

io::http_response own_protocol::render(const own_answer& answer) const {
    io::http_response rendered;
    rendered.status = answer.status;
    rendered.headers = {{"Content-Type", "text/plain"},
                        {header::outcome, to_string(answer.outcome)},
                        {header::reason, answer.reason}};
    if (answer.retry_after) {
        add_retry_after(rendered, *answer.retry_after);
    }
    rendered.body = answer.reason;
    if (!answer.detail.empty()) {
        rendered.body += ": " + answer.detail;
    }
    rendered.body += "\n";
    return rendered;
}

bool own_protocol::promises_not_run(const io::http_response& answer) const {
    const auto* outcome = io::find_header(answer.headers, header::outcome);
    return outcome != nullptr && *outcome == to_string(run_outcome::not_run);
}

// What callers take for our word of a request is not a backend server's to say.
io::http_response own_protocol::pass_on(io::http_response answer,
                                        const std::string& path_taken) const {
    answer.headers = io::end_to_end_headers(answer.headers);
    const auto is_our_word = [](const io::http_header& each) {
        return strcasecmp(each.name.c_str(), header::outcome) == 0 ||
               strcasecmp(each.name.c_str(), header::reason) == 0 ||
               strcasecmp(each.name.c_str(), header::route) == 0;
    };
    answer.headers.erase(std::remove_if(answer.headers.begin(),
                                        answer.headers.end(), is_our_word),
                         answer.headers.end());
    answer.headers.push_back({header::outcome, to_string(run_outcome::ran)});
    if (!path_taken.empty()) {
        answer.headers.push_back({header::route, path_taken});
    }
    return answer;
}

} // namespace waxwingvale::entry
