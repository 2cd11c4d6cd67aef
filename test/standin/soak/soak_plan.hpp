#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingvale::standin {

// What is done to one process, or to one link, from outside.
enum class fault_kind {
    kill_instance,  // SIGKILL, started again at the end
    stop_instance,  // SIGTERM, started again at the end
    pause_instance, // SIGSTOP until the end
    kill_backend,   // SIGKILL, started again at the end
    pause_backend,
    slow_backend,
    platform_down,
    platform_slow,
    platform_stale,
    peers_cut,   // bytes between instances vanish
    peers_reset, // connections between instances are closed
    peers_slow,
    backend_cut,    // bytes to one backend server vanish
    backend_silent, // open connections go silent, new ones work
    backend_reset,
    publish, // a new configuration
    // Only where a plan is told to have them:
    limit_backend, // names a limit in its answers
    tire_backend,  // turns all requests away and asks for rest
    count_of_kinds
};

const char* to_string(fault_kind kind);

struct planned_fault {
    std::chrono::milliseconds at{};
    std::chrono::milliseconds lasts{};
    fault_kind kind = fault_kind::publish;
    std::size_t target = 0; // to be taken modulo the number of things
};

// All that a seed decides.
struct soak_plan {
    std::uint64_t seed = 0;
    unsigned entry_instances = 0;
    unsigned backend_servers = 0;
    unsigned calls_per_second = 0;
    double write_fraction = 0;
    std::chrono::milliseconds length{};
    std::vector<planned_fault> faults; // by their beginning

    // Whether a caller may rightly be left without an answer: the process or
    // the link that held its request was taken away.
    bool may_lose_answers() const;
    // Whether an instance may rightly be left no time to write its last lines.
    bool may_lose_lines() const;
};

// The same seed makes the same plan on every machine. Faults overlap and come
// in series.
soak_plan make_plan(std::uint64_t seed, std::chrono::milliseconds length);

// Adds backend servers that name limits and ask for rest, as the plan's seed
// decides; the other faults stay as they are.
void add_terms(soak_plan& plan);

std::string to_string(const soak_plan& plan);

} // namespace waxwingvale::standin
