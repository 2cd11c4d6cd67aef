#include "control/view_changes.hpp"

#include <algorithm>
#include <map>

#include <waxwingvale/program/state_log.hpp>

#include "administration/state_names.hpp"

namespace waxwingvale::control {

namespace {

// Lines of one view at most, by name: enough for a release or a machine that
// is lost. Beyond it, as when the process starts, only numbers are told. With
// 16, 128 instances wrote 71,000 lines in the first seconds of a day.
constexpr std::size_t most_lines = 4;

// Each thing of a view by its name, as a state and its details.
using described = std::map<std::string, view_change>;

described members_of(const view& known) {
    described found;
    for (const auto& each : known.members) {
        found[each.id.name] = {
            "member", each.id.name, administration::to_string(each.state),
            "incarnation=" + std::to_string(each.id.incarnation) +
                (each.partitioned ? " partitioned=yes" : "") +
                (each.runs_late ? " runs_late=yes" : "")};
    }
    return found;
}

described servers_of(const view& known) {
    described found;
    if (!known.config) {
        return found;
    }
    for (const auto& of : known.config->services) {
        for (const auto& each : of.backend_servers) {
            found[each.name] = {
                "backend_server", each.name, "usable",
                "service=" + of.name + " address=" + each.host + ":" +
                    std::to_string(each.port) +
                    " incarnation=" + std::to_string(each.incarnation)};
        }
    }
    return found;
}

described beliefs_of(const view& known) {
    described found;
    for (const auto& each : known.beliefs) {
        found[each.backend_server] = {
            "backend_belief", each.backend_server,
            administration::to_string(each.state),
            std::string("source=") + administration::to_string(each.source) +
                " observer=" + each.observer};
    }
    return found;
}

void add_changes(const described& before, const described& now,
                 std::vector<view_change>& to) {
    for (const auto& entry : now) {
        const auto old = before.find(entry.first);
        if (old == before.end() || !(old->second == entry.second)) {
            to.push_back(entry.second);
        }
    }
    for (const auto& entry : before) {
        if (now.count(entry.first) == 0) {
            to.push_back({entry.second.of, entry.first, "unlisted", ""});
        }
    }
}

} // namespace

std::vector<view_change> changes_between(const view& before, const view& now) {
    std::vector<view_change> changes;
    // Most views differ in one of these; naming all that stayed as it is would
    // cost more than the rest of a view.
    if (before.members != now.members) {
        add_changes(members_of(before), members_of(now), changes);
    }
    if (before.config != now.config) {
        add_changes(servers_of(before), servers_of(now), changes);
    }
    if (before.beliefs != now.beliefs) {
        add_changes(beliefs_of(before), beliefs_of(now), changes);
    }
    return changes;
}

void log_changes(const view& before, const view& now) {
    const auto changes = changes_between(before, now);
    const auto named = changes.size() > most_lines ? 0 : changes.size();
    const auto revision = now.config ? now.config->revision : 0;
    for (std::size_t i = 0; i < named; ++i) {
        const auto& each = changes[i];
        program::log_change("view_changed",
                            {{"of", each.of},
                             {"name", each.name},
                             {"now", each.now},
                             {"revision", std::to_string(revision)},
                             {"serial", std::to_string(now.serial)},
                             {"details", each.details}});
    }
    if (changes.size() > named) {
        program::log_change(
            "view_changes_not_named",
            {{"changes", std::to_string(changes.size() - named)},
             {"serial", std::to_string(now.serial)}});
    }
}

namespace {

bool is_among(const std::vector<evacuation>& orders,
              const std::string& data_centre) {
    return std::any_of(orders.begin(), orders.end(), [&](const auto& each) {
        return each.data_centre == data_centre;
    });
}

std::size_t servers_evacuated(const view& known,
                              const std::string& data_centre) {
    const auto& servers = known.evacuated_servers;
    return static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(), [&](const auto& each) {
            return each.data_centre == data_centre;
        }));
}

} // namespace

void log_evacuations(const view& before, const view& now, time_point when) {
    for (const auto& order : now.evacuations) {
        if (is_among(before.evacuations, order.data_centre)) {
            continue;
        }
        const auto known_for =
            (when - order.since) / std::chrono::milliseconds(1);
        program::log_change(
            "evacuation_followed",
            {{"data_centre", order.data_centre},
             {"revision", std::to_string(order.revision)},
             {"backend_servers",
              std::to_string(servers_evacuated(now, order.data_centre))},
             {"known_for_ms", std::to_string(known_for)}});
    }
    for (const auto& order : before.evacuations) {
        if (!is_among(now.evacuations, order.data_centre)) {
            program::log_change("evacuation_taken_back",
                                {{"data_centre", order.data_centre},
                                 {"revision", std::to_string(order.revision)}});
        }
    }
}

} // namespace waxwingvale::control
