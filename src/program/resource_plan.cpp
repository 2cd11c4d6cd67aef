#include <waxwingvale/program/resource_plan.hpp>

#include <algorithm>
#include <sys/resource.h>

namespace waxwingvale::program {

namespace {

constexpr std::size_t bytes_of_megabyte = 1'000'000;
// Of the memory. The rest is for the program, for bytes that wait unread in the
// system, as much again, and for what the allocator can't use.
constexpr std::size_t held_part = 4;

// Descriptors of the process itself: log, loop, listeners, the platform.
constexpr std::size_t own_descriptors = 64;
// Parts of the others. The first is not for those who connect: it is for
// backend servers, and links of instances that have proved themselves.
constexpr std::size_t outgoing_part = 3;
constexpr std::size_t steer_part = 8;
constexpr std::size_t detour_part = 16;
constexpr std::size_t probe_part = 32;
constexpr std::size_t unproven_part = 16;
constexpr std::size_t most_probes = 64;
constexpr std::size_t most_unproven = 64;

constexpr std::size_t least_receive_buffer = 8 * 1024;
constexpr std::size_t most_receive_buffer = 64 * 1024;

std::size_t sockets_of(const instance_settings& of, std::size_t granted) {
    const auto named = of.descriptors == 0
                           ? granted
                           : of.descriptors - of.descriptors_for_files;
    const auto all = std::min(named, granted);
    return all > own_descriptors ? all - own_descriptors : 1;
}

} // namespace

resource_plan plan_resources(const settings& of, std::size_t granted) {
    const auto sockets = sockets_of(of.instance, granted);
    const auto part = [&](std::size_t divisor) {
        return std::max<std::size_t>(sockets / divisor, 1);
    };
    resource_plan plan;
    plan.steer =
        std::min<std::size_t>(of.steer.connection_limit, part(steer_part));
    plan.detours =
        std::min<std::size_t>(of.entry.connection_limit, part(detour_part));
    plan.probes = std::min(most_probes, part(probe_part));
    plan.unproven_peers = std::min(most_unproven, part(unproven_part));
    const auto others = part(outgoing_part) + plan.steer + plan.detours +
                        2 * plan.probes + plan.unproven_peers;
    const auto left = sockets > others ? sockets - others : 1;
    plan.callers = std::min<std::size_t>(of.entry.connection_limit, left);
    plan.held_bytes = of.instance.memory_mb * bytes_of_megabyte / held_part;
    // All that are spared hold half of it at most.
    plan.spared_bytes = plan.held_bytes / 2 / plan.callers;
    plan.receive_buffer = std::clamp(plan.held_bytes / plan.callers,
                                     least_receive_buffer, most_receive_buffer);
    return plan;
}

std::size_t granted_descriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace waxwingvale::program
