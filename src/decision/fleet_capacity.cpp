#include "decision/fleet_capacity.hpp"

#include <algorithm>

namespace waxwingvale::decision {

namespace {

// Deployments mix machines of about half a core with machines of about a tenth.
// The threshold lies between the two, so that machines of one kind count alike
// although some of them are a little slower.
constexpr double min_capacity_fraction = 0.4;

} // namespace

fleet_capacity::fleet_capacity(const std::vector<member>& fleet) {
    for (const member& each : fleet) {
        highest_.cpu_permille =
            std::max(highest_.cpu_permille, each.capacity.cpu_permille);
        highest_.link_mbps =
            std::max(highest_.link_mbps, each.capacity.link_mbps);
    }
}

bool fleet_capacity::has_high_capacity(const member& candidate) const {
    return candidate.capacity.cpu_permille >=
               min_capacity_fraction * highest_.cpu_permille &&
           candidate.capacity.link_mbps >=
               min_capacity_fraction * highest_.link_mbps;
}

} // namespace waxwingvale::decision
