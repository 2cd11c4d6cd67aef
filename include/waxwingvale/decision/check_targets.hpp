#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/model/configuration.hpp>

namespace waxwingvale::decision {

// A backend server and the service that it belongs to, of a configuration that
// lives longer.
struct check_target {
    const service* of = nullptr;
    const backend_server* server = nullptr;
};

// A check whether servers can be reached asks so many.
constexpr std::size_t servers_of_a_check = 3;

// Chooses the servers that a check asks: those that have not failed come first,
// of as many services and data centres as there are, since a service or a data
// centre whose servers are all down is no sign of a partition. Each round asks
// others.
std::vector<check_target> servers_to_check(const configuration& of,
                                           const std::set<std::string>& failed,
                                           std::uint64_t round);

} // namespace waxwingvale::decision
