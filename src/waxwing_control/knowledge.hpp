#pragma once

#include <string>

#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/configuration_register.hpp>
#include <waxwingvale/membership/freshness.hpp>
#include <waxwingvale/membership/member_table.hpp>
#include <waxwingvale/membership/peer_exchange.hpp>
#include <waxwingvale/membership/quarantine_table.hpp>

namespace waxwingvale::control {

// Most backend servers of which word is kept.
constexpr std::size_t belief_limit = 8192;
// Gaps between two turns of the loop that are longer mean that the process
// was stopped. The loop turns at least every tick.
constexpr duration wake_gap = std::chrono::seconds(1);
constexpr duration tick_period = std::chrono::milliseconds(100);

// All that this entry instance knows, in one place.
struct knowledge {
    knowledge(membership::member_record self,
              membership::configuration_register::validator validate,
              time_point now);

    membership::known_state tables() {
        return {configurations, members, beliefs, quarantine};
    }

    membership::configuration_register configurations;
    membership::member_table members;
    membership::belief_table beliefs;
    membership::quarantine_table quarantine;
    membership::freshness fresh;
};

// A process of an entry instance as links name it.
std::string process_name(const std::string& instance, const char* role);
// The instance of a "<instance>/<role>" name of that role, or empty.
std::string instance_of(const std::string& process, const char* role);

constexpr const char* control_role = "control";
constexpr const char* entry_role = "entry";
constexpr const char* steer_role = "steer";

} // namespace waxwingvale::control
