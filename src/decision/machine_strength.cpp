#include "decision/machine_strength.hpp"

#include <algorithm>

namespace waxwingvale::decision {

namespace {

// Between the halves and the tenths of a core that deployments mix: machines
// of one kind, some of them a little slower, stay together.
constexpr double weak_part = 0.4;

} // namespace

machine_strength::machine_strength(const std::vector<member>& fleet) {
    for (const member& each : fleet) {
        most_.cpu_permille =
            std::max(most_.cpu_permille, each.capacity.cpu_permille);
        most_.link_mbps = std::max(most_.link_mbps, each.capacity.link_mbps);
    }
}

bool machine_strength::is_strong(const member& machine) const {
    return machine.capacity.cpu_permille >= weak_part * most_.cpu_permille &&
           machine.capacity.link_mbps >= weak_part * most_.link_mbps;
}

} // namespace waxwingvale::decision
