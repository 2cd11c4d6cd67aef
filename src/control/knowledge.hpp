#pragma once

#include "control/unreadable_items.hpp"
#include <cstdint>
#include <optional>
#include <vector>
#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/configuration_register.hpp>
#include <waxwingvale/membership/crash_verdict_table.hpp>
#include <waxwingvale/membership/freshness.hpp>
#include <waxwingvale/membership/late_wakeup_history.hpp>
#include <waxwingvale/membership/member_table.hpp>
#include <waxwingvale/membership/peer_exchange.hpp>
#include <waxwingvale/membership/reader_duty.hpp>
#include <waxwingvale/membership/registry_table.hpp>
#include <waxwingvale/program/settings.hpp>

namespace waxwingvale::control {

// Most backend servers of which word is kept.
constexpr std::size_t belief_limit = 8192;
// Gaps between two turns of the loop that are longer mean that the process
// was stopped: far longer than any pass of the loop, shorter than a lease of a
// slot. The loop turns at least every tick.
constexpr duration wake_gap = std::chrono::milliseconds(500);
constexpr duration tick_period = std::chrono::milliseconds(100);

// All that this entry instance knows, in one place.
struct knowledge {
    knowledge(membership::member_record self, const program::settings& from,
              membership::configuration_register::validator validate,
              time_point now);

    membership::known_state tables() {
        return {configurations, members,    beliefs,
                registry,       quarantine, readers};
    }

    // Fingerprints refused here, or by the verdict of a peer; sorted.
    std::vector<std::uint64_t> refused_requests() const;

    membership::configuration_register configurations;
    membership::member_table members;
    membership::belief_table beliefs;
    membership::registry_table registry;
    membership::crash_verdict_table quarantine;
    // Fingerprints of requests that this instance refuses, sorted.
    std::vector<std::uint64_t> refused_here;
    membership::reader_duty readers;
    membership::freshness fresh;
    membership::late_wakeup_history late_wakeups;
    // What is proved of the configuration in force.
    configuration_standing standing = configuration_standing::unconfirmed;
    bool routes_hold = false; // see view
    // When it was last known to be the newest; empty: never yet.
    std::optional<time_point> proved_at;
    unreadable_items unreadable;
};

} // namespace waxwingvale::control
