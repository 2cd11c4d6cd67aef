#pragma once

#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/decision/history.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// The promises that a history is checked for.
enum class history_rule {
    answered,         // every request has a whole answer or stated refusal
    own_answer,       // and it is the answer to this very request
    at_most_once,     // what must not run twice has not
    truly_not_run,    // what was refused as "not run" did not run
    no_new_work,      // a leaving backend server got no work after the bound
    backend_not_cut,  // a stopping backend server finished what it had
    entry_not_cut,    // a stopping entry instance finished what it had
    probe_budget,     // probes within the budget, in every window
    no_reversion,     // no entry instance went back to an older revision
    newest_everywhere // all had the newest revision within the bound
};

// The rule's name in reports: "at-most-once".
const char* to_string(history_rule rule);

// The bounds that the rules are checked with.
struct history_bounds {
    duration no_new_work = std::chrono::seconds(3);
    duration newest_everywhere = std::chrono::seconds(5);
    double probe_rate = 0.1;  // a second to each backend server
    double probes_saved = 2;  // above the rate in any window: one for each
                              // side of a partition
    duration connection_end = // how late the end of a connection is noticed
        std::chrono::milliseconds(200);
};

// A broken promise: where it shows, and what it concerns.
struct history_violation {
    history_rule rule = history_rule::answered;
    time_point at{};
    std::string subject; // a request, key, backend server or entry instance
    std::string detail;

    friend bool operator==(const history_violation& a,
                           const history_violation& b) {
        return std::tie(a.rule, a.at, a.subject, a.detail) ==
               std::tie(b.rule, b.at, b.subject, b.detail);
    }
};

// Checks a whole history, in any order of events, against every rule. Nothing
// found means that the history kept all promises, as far as it was recorded.
std::vector<history_violation> check_history(const history& events,
                                             const history_bounds& bounds);

} // namespace waxwingvale::decision
