#pragma once

#include <string>
#include <vector>

#include <waxwingvale/model/view.hpp>

namespace waxwingvale::control {

// One thing that a newer view says otherwise than the one before.
struct view_change {
    // "member", "backend_server" or "backend_belief", as log lines name it.
    const char* of = "";
    std::string name;
    std::string now;     // its state
    std::string details; // as "key=value key=value"

    friend bool operator==(const view_change& a, const view_change& b) {
        return std::tie(a.of, a.name, a.now, a.details) ==
               std::tie(b.of, b.name, b.now, b.details);
    }
};

// Members, backend servers and what is believed of these, each named once.
std::vector<view_change> changes_between(const view& before, const view& now);

// Logs them, the first of many by name and the rest as a number: when the
// process starts, or many machines fail together, the names are too many.
void log_changes(const view& before, const view& now);

// Logs each evacuation that the new view is the first to follow, and each that
// it no longer does.
void log_evacuations(const view& before, const view& now, time_point when);

} // namespace waxwingvale::control
