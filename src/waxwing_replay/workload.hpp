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
    time_point first_arrived_at{}; // before any refusal
    std::uint64_t caller = 0;
    std::string tenant;
    std::size_t work = 0; // place of its class among the size's works
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

// One class of calls: how long they take, lognormal around the mean and a few
// far longer, and what answers to them are worth.
struct work_profile {
    std::string name = "reads";
    double share = 1; // of all calls
    request_nature nature = request_nature::retriable;
    unsigned priority = 0; // 0 is the highest
    double worth = 1;      // of an answer within the target
    double late_worth = 0; // of one after it
    unsigned returns = 2;  // times that a caller comes back after a refusal
    duration mean{20000};  // of the lognormal part
    double sigma = 0.6;
    double slow_share = 0.02;
    double slow_factor = 8.0;
    duration allowed{1000000};
    duration target{}; // an answer is worth most within it; zero: none
};

// What the machines below the backend servers do to them: others on the same
// machine slow a server down for a while, and one whose slots are nearly all
// busy takes longer for what it begins.
struct machine_profile {
    double slowed_share = 0; // of the time
    double slowed_factor = 1;
    duration slowed_step{300000}; // the pace is drawn anew after each
    double crowded_from = 2;      // share of busy slots, 2: never
    double crowded_factor = 1;

    bool steady() const { return slowed_share <= 0 && crowded_from > 1; }
    // How many times longer work takes that begins with so many busy.
    double crowding(unsigned busy, unsigned slots) const {
        return busy >= crowded_from * slots ? crowded_factor : 1.0;
    }
};

// How a user's service looks.
struct service_size {
    std::string user;
    std::vector<std::string> data_centres;
    unsigned backend_servers = 0;
    unsigned slots = 0;
    unsigned entry_instances = 18;
    unsigned owners = 0;                             // 0: derived
    std::vector<work_profile> works{work_profile()}; // one or more
    machine_profile machines;

    const work_profile& work_of(const call& made) const {
        return works[made.work];
    }
};

// What the calls of a class take on average, slow ones included, and those of
// all classes, in microseconds.
double mean_service_time_us(const work_profile& work);
double mean_service_time_us(const std::vector<work_profile>& works);

// The service time of one attempt: the same for every policy, since it
// depends on nothing but the seed, the call and the attempt.
duration service_time_of(const work_profile& work, std::uint64_t seed,
                         std::uint64_t call_id, unsigned attempt);

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

// The sizes of the brief, "cooperative" and "bramblewood"; the same on machines
// that others use too, "cooperative-shared" and "bramblewood-shared"; 30
// servers of 3 slots whose reads and bookings share them, "mixed-shared", and
// 268 of them, "mixed-shared-large"; and "small", for traces that people can
// read. Throws std::out_of_range for
// another name.
service_size size_of(const std::string& user);

// The names of all scenarios, in the order of the table.
std::vector<std::string> scenario_names();

// Generates a scenario; throws std::out_of_range for an unknown name.
workload make_workload(const std::string& scenario, const service_size& size,
                       std::uint64_t seed, duration length);

// The service as its configuration would describe it.
service service_of(const service_size& size);

// Calls a second that the slots can serve at most, whatever machine they meet.
double capacity_of(const service_size& size);

} // namespace waxwingvale::replay
