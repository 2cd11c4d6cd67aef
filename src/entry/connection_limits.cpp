#include "entry/connection_limits.hpp"

#include <algorithm>

namespace waxwingvale::entry {

namespace {

// Connections in use for each slot of a server: one for the request, one for
// a request that was cancelled and is not yet known to be, or for a probe.
constexpr std::size_t connections_per_slot = 2;

} // namespace

connection_limits connection_limits_of(const view& now) {
    connection_limits limits;
    if (!now.config || now.members.empty()) {
        return limits;
    }
    for (const auto& of : now.config->services) {
        for (const auto& server : of.backend_servers) {
            const std::size_t in_use = server.slots * connections_per_slot;
            const std::size_t whole = server.connections;
            const auto spare = whole > in_use ? whole - in_use : 0;
            limits.open = std::min(limits.open, whole);
            limits.idle = std::min(limits.idle, spare / now.members.size());
        }
    }
    limits.open = std::max<std::size_t>(limits.open, 1);
    return limits;
}

} // namespace waxwingvale::entry
