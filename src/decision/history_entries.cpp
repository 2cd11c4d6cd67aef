#include <map>
#include <optional>
#include <string>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

// When an entry instance stopped, as far as the history tells.
struct stop_times {
    time_point stopping{};
    std::optional<time_point> stopped;
};

using stops_by_name = std::map<std::string, stop_times>;

stops_by_name graceful_stops(const history& events) {
    stops_by_name stops;
    for_each_event<entry_stopping>(events,
                                   [&](time_point at, const auto& entry) {
                                       stops[entry.who].stopping = at;
                                   });
    for_each_event<entry_stopped>(
        events, [&](time_point at, const auto& entry) {
            const auto found = stops.find(entry.who);
            if (found != stops.end() && at >= found->second.stopping) {
                found->second.stopped = at;
            }
        });
    return stops;
}

// From when to when an entry instance was there to act by a configuration.
struct presence {
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
            const bool by_the_stop =
                times.stopped && at <= *times.stopped + bounds.connection_end;
            if (in_flight && by_the_stop) {
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
            auto& known = newest[event.who];
            if (event.revision < known) {
                found.push_back({history_rule::no_reversion, at, event.who,
                                 "went from revision " + std::to_string(known) +
                                     " to " + std::to_string(event.revision)});
            } else {
                known = event.revision;
            }
        });
}

namespace {

std::map<std::string, presence> presences(const history& events) {
    std::map<std::string, presence> present;
    for (const auto& event : events) {
        if (const auto* force = std::get_if<revision_in_force>(&event.what)) {
            present.emplace(force->who, presence{event.at, std::nullopt});
        } else if (const auto* stop = std::get_if<entry_stopped>(&event.what)) {
            const auto known = present.find(stop->who);
            if (known != present.end() && !known->second.until) {
                known->second.until = event.at;
            }
        }
    }
    return present;
}

bool had_revision(const history& events, const std::string& who,
                  std::uint64_t revision, time_point until) {
    bool had = false;
    for_each_event<revision_in_force>(
        events, [&](time_point at, const revision_in_force& event) {
            had = had || (event.who == who && event.revision >= revision &&
                          at <= until);
        });
    return had;
}

} // namespace

void check_newest_everywhere(const history& events,
                             const history_bounds& bounds, violations& found) {
    if (events.empty()) {
        return;
    }
    const auto present = presences(events);
    const auto end = events.back().at;
    for_each_event<revision_published>(
        events, [&](time_point at, const revision_published& published) {
            const auto due = at + bounds.newest_everywhere;
            for (const auto& [who, there] : present) {
                const bool judged = there.from <= at && due <= end &&
                                    (!there.until || *there.until > due);
                if (judged &&
                    !had_revision(events, who, published.revision, due)) {
                    found.push_back({history_rule::newest_everywhere, due, who,
                                     "has not revision " +
                                         std::to_string(published.revision)});
                }
            }
        });
}

} // namespace waxwingvale::decision
