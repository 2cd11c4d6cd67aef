#pragma once

#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/decision/history.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// The guarantees that a history is checked against.
enum class history_rule {
    answered,         // every request got a complete answer or a refusal
    own_answer,       // every answer was produced by a run of its own request
    at_most_once,     // no at-most-once request ran twice
    truly_not_run,    // requests refused as "not run" did not run
    no_new_work,      // leaving backend servers got no work after the bound
    backend_not_cut,  // stopping backend servers finished their requests
    entry_not_cut,    // stopping entry instances finished their requests
    probe_budget,     // probes stayed within the budget in every time window
    no_reversion,     // no entry instance went back to an older revision
    newest_everywhere // every instance had each new revision within the bound
};

// Returns the rule's name in reports, e.g. "at-most-once".
const char* to_string(history_rule rule);

// Limits that the rules apply.
struct history_bounds {
    // How long a backend server may still get work after it has announced that
    // it is leaving.
    duration no_new_work = std::chrono::seconds(3);
    // How long after its publication a revision may be put in force.
    duration newest_everywhere = std::chrono::seconds(5);
    // Probes per second to each backend server.
    double probe_rate = 0.1;
    // Probes allowed above the rate in any time window: one for each side of a
    // network partition.
    double probe_burst = 2;
    // How long a caller may take to notice that its connection was closed.
    duration connection_close_delay = std::chrono::milliseconds(200);
};

// A violation of a rule. `at` is the time at which it shows.
struct history_violation {
    history_rule rule = history_rule::answered;
    time_point at{};
    std::string subject; // request, key, backend server or entry instance
    std::string detail;

    friend bool operator==(const history_violation& a,
                           const history_violation& b) {
        return std::tie(a.rule, a.at, a.subject, a.detail) ==
               std::tie(b.rule, b.at, b.subject, b.detail);
    }
};

// Checks a complete history against every rule. The events may be in any order.
// An empty result means that no recorded event violates a rule.
std::vector<history_violation> check_history(const history& events,
                                             const history_bounds& bounds);

} // namespace waxwingvale::decision
