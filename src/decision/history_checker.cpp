#include <waxwingvale/decision/history_checker.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

struct rule_entry {
    const char* name;
    history_rule_check check;
};

// In the order of history_rule.
constexpr std::array<rule_entry, 10> rules{{
    {"answered", check_answered},
    {"own-answer", check_own_answer},
    {"at-most-once", check_at_most_once},
    {"truly-not-run", check_truly_not_run},
    {"no-new-work", check_no_new_work},
    {"backend-not-cut", check_backend_not_cut},
    {"entry-not-cut", check_entry_not_cut},
    {"probe-budget", check_probe_budget},
    {"no-reversion", check_no_reversion},
    {"newest-everywhere", check_newest_everywhere},
}};

} // namespace

const char* to_string(history_rule rule) {
    return rules.at(static_cast<std::size_t>(rule)).name;
}

std::vector<history_violation> check_history(const history& events,
                                             const history_bounds& bounds) {
    // Each process writes its own file, and the files are read one after
    // another.
    auto sorted = events;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const history_event& a, const history_event& b) {
                         return a.at < b.at;
                     });
    violations found;
    for (const auto& rule : rules) {
        rule.check(sorted, bounds, found);
    }
    return found;
}

} // namespace waxwingvale::decision
