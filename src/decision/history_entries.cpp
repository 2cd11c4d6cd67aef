#include <map>
#include <optional>
#include <string>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

// When an entry instance was told to stop and when it stopped, if recorded.
struct stop_times {
    time_point stopping{};
    std::optional<time_point> stopped;
};

using stops_by_name = std::map<std::string, stop_times>;

stops_by_name graceful_stops(const history& events) {
    stops_by_name stops;
    for_each_event<entry_stopping>(
        events, [&](time_point at, const auto& entry) {
            stops[entry.entry_instance].stopping = at;
        });
    for_each_event<entry_stopped>(
        events, [&](time_point at, const auto& entry) {
            const auto found = stops.find(entry.entry_instance);
            if (found != stops.end() && at >= found->second.stopping) {
                found->second.stopped = at;
            }
        });
    return stops;
}

// The time during which an entry instance had a configuration in force.
struct active_period {
    time_point from{};
    std::optional<time_point> until;
};

} // namespace

void check_entry_not_cut(const history& events, const history_bounds& bounds,
                         violations& found) {
    const auto stops = graceful_stops(events);
    for_each_event<request_answered>(
        events, [&](time_point at, const request_answered& answer) {
            const auto stop = stops.find(answer.via);
            if (stop == stops.end() || answer.status != 0 || !answer.sent) {
                return;
            }
            const auto& times = stop->second;
            const bool in_flight =
                *answer.sent < times.stopping && at >= times.stopping;
            const bool caused_by_stop =
                times.stopped &&
                at <= *times.stopped + bounds.connection_close_delay;
            if (in_flight && caused_by_stop) {
                found.push_back(
                    {history_rule::entry_not_cut, at, answer.request,
                     "was cut off when " + answer.via + " stopped"});
            }
        });
}

void check_no_reversion(const history& events, const history_bounds&,
                        violations& found) {
    std::map<std::string, std::uint64_t> newest;
    for_each_event<revision_in_force>(
        events, [&](time_point at, const revision_in_force& event) {
            auto& known = newest[event.entry_instance];
            if (event.revision < known) {
                found.push_back({history_rule::no_reversion, at,
                                 event.entry_instance,
                                 "went from revision " + std::to_string(known) +
                                     " to " + std::to_string(event.revision)});
            } else {
                known = event.revision;
            }
        });
}

namespace {

std::map<std::string, active_period> active_periods(const history& events) {
    std::map<std::string, active_period> periods;
    for (const auto& event : events) {
        if (const auto* force =
                std::get_if<revision_in_force>(&event.payload)) {
            periods.emplace(force->entry_instance,
                            active_period{event.at, std::nullopt});
        } else if (const auto* stop =
                       std::get_if<entry_stopped>(&event.payload)) {
            const auto known = periods.find(stop->entry_instance);
            if (known != periods.end() && !known->second.until) {
                known->second.until = event.at;
            }
        }
    }
    return periods;
}

bool reached_revision(const history& events, const std::string& instance,
                      std::uint64_t revision, time_point until) {
    bool reached = false;
    for_each_event<revision_in_force>(
        events, [&](time_point at, const revision_in_force& event) {
            reached = reached || (event.entry_instance == instance &&
                                  event.revision >= revision && at <= until);
        });
    return reached;
}

} // namespace

void check_newest_everywhere(const history& events,
                             const history_bounds& bounds, violations& found) {
    if (events.empty()) {
        return;
    }
    const auto periods = active_periods(events);
    const auto end = events.back().at;
    for_each_event<revision_published>(
        events, [&](time_point at, const revision_published& published) {
            const auto due = at + bounds.newest_everywhere;
            for (const auto& [instance, period] : periods) {
                const bool applies = period.from <= at && due <= end &&
                                     (!period.until || *period.until > due);
                if (applies && !reached_revision(events, instance,
                                                 published.revision, due)) {
                    found.push_back({history_rule::newest_everywhere, due,
                                     instance,
                                     "did not have revision " +
                                         std::to_string(published.revision)});
                }
            }
        });
}

} // namespace waxwingvale::decision
