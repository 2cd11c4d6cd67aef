#pragma once

#include <vector>

#include <waxwingvale/decision/history_checker.hpp>

namespace waxwingvale::decision {

using violations = std::vector<history_violation>;

// A rule gets the events sorted by time and appends the violations it finds.
using history_rule_check = void (*)(const history&, const history_bounds&,
                                    violations&);

// history_requests.cpp
void check_answered(const history&, const history_bounds&, violations&);
void check_own_answer(const history&, const history_bounds&, violations&);
void check_at_most_once(const history&, const history_bounds&, violations&);
void check_truly_not_run(const history&, const history_bounds&, violations&);

// history_backends.cpp
void check_no_new_work(const history&, const history_bounds&, violations&);
void check_backend_not_cut(const history&, const history_bounds&, violations&);
void check_probe_budget(const history&, const history_bounds&, violations&);

// history_entries.cpp
void check_entry_not_cut(const history&, const history_bounds&, violations&);
void check_no_reversion(const history&, const history_bounds&, violations&);
void check_newest_everywhere(const history&, const history_bounds&,
                             violations&);

// Calls `visit` with the time and payload of every event of one kind, in order.
template <typename Kind, typename Visit>
void for_each_event(const history& events, Visit visit) {
    for (const auto& event : events) {
        if (const auto* found = std::get_if<Kind>(&event.payload)) {
            visit(event.at, *found);
        }
    }
}

} // namespace waxwingvale::decision
