#pragma once

#include <cstddef>
#include <tuple>

#include <waxwingvale/program/settings.hpp>

namespace waxwingvale::program {

// How an instance divides what its machine grants to the process among those
// who may connect to it, so that none can take what the others need.
struct resource_plan {
    std::size_t held_bytes = 0;   // held for callers, of all addresses together
    std::size_t spared_bytes = 0; // held by one who is never given up for it
    std::size_t receive_buffer = 0; // bytes that one caller may send ahead
    // Connections open at once, by whom they are of.
    std::size_t callers = 0;
    std::size_t steer = 0;
    std::size_t detours = 0;
    std::size_t probes = 0; // of each address that tells of the instance itself
    std::size_t unproven_peers = 0;

    friend bool operator==(const resource_plan& a, const resource_plan& b) {
        const auto fields = [](const resource_plan& of) {
            return std::tie(of.held_bytes, of.spared_bytes, of.receive_buffer,
                            of.callers, of.steer, of.detours, of.probes,
                            of.unproven_peers);
        };
        return fields(a) == fields(b);
    }
};

// The plan for a process of which the system limits the descriptors to
// `granted`. The settings may name fewer, and fewer connections than there is
// room for.
resource_plan plan_resources(const settings& of, std::size_t granted);

// Descriptors that the system grants to this process.
std::size_t granted_descriptors();

} // namespace waxwingvale::program
