#pragma once

#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/configuration_register.hpp>
#include <waxwingvale/membership/crash_verdict_table.hpp>
#include <waxwingvale/membership/member_table.hpp>
#include <waxwingvale/membership/reader_duty.hpp>
#include <waxwingvale/membership/registry_table.hpp>

namespace waxwingvale::membership {

// References to all tables that one entry instance exchanges with its peers.
struct known_state {
    configuration_register& configurations;
    member_table& members;
    belief_table& beliefs;
    registry_table& registry;
    crash_verdict_table& quarantine;
    reader_duty& readers;
};

} // namespace waxwingvale::membership
