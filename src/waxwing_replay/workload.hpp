#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::replay {

// One call of a caller.
struct call {
    std::uint64_t id = 0;
    time_point arrives_at{};
    std::uint64_t caller = 0;
    std::string tenant;
    request_nature nature = request_nature::retriable;
    duration allowed{};   // from arrival to deadline
    unsigned returns = 0; // times it came back after a refusal
};

// What is wrong with a backend server, or with an entry instance.
enum class fault_kind {
    straggling,
    draining,
    failing_fast,
    crowded, // half of its slots are taken by somebody we know nothing of
    owner_lost,
    split // half of the entry instances can't reach the other half
};

struct fault {
    fault_kind kind = fault_kind::straggling;
    std::size_t place = 0; // of the backend server; of the owner by rank
    time_point from{};
    time_point until{};
};

// How much a straggler is slower.
inline constexpr double straggler_factor = 8.0;

// How a user's service looks: the sizes of the brief.
struct service_size {
    std::string user;
    std::vector<std::string> data_centres;
    unsigned backend_servers = 0;
    unsigned slots = 0;
    unsigned entry_instances = 18;
    unsigned owners = 0; // 0: derived
};

// The mean of the lognormal part, its spread, and the rare slow calls.
inline constexpr duration usual_service_time{20000};
inline constexpr double service_time_sigma = 0.6;
inline constexpr double slow_share = 0.02;
inline constexpr double slow_factor = 8.0;

// What all calls take on average, slow ones included.
double mean_service_time_us();

// The service time of one attempt: the same for every policy, since it
// depends on nothing but the seed, the call and the attempt.
duration service_time_of(std::uint64_t seed, std::uint64_t call_id,
                         unsigned attempt);

// Calls, faults and the time that is measured.
struct workload {
    std::string scenario;
    service_size size;
    std::uint64_t seed = 0;
    std::vector<call> calls; // by time
    std::vector<fault> faults;
    duration warm_up{};
    duration length{}; // warm-up included
};

// The sizes "cooperative", "bramblewood" and "small", the last for traces
// that people can read; throws std::out_of_range for
// another name.
service_size size_of(const std::string& user);

// The names of all scenarios, in the order of the table.
std::vector<std::string> scenario_names();

// Generates a scenario; throws std::out_of_range for an unknown name.
workload make_workload(const std::string& scenario, const service_size& size,
                       std::uint64_t seed, duration length);

// The service as its configuration would describe it.
service service_of(const service_size& size);

// Calls a second that the slots can serve at most.
double capacity_of(const service_size& size);

} // namespace waxwingvale::replay
