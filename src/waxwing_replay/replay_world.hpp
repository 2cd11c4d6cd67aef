#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "waxwing_replay/backend_model.hpp"
#include "waxwing_replay/calendar.hpp"
#include "waxwing_replay/run_statistics.hpp"
#include "waxwing_replay/workload.hpp"

namespace waxwingvale::replay {

class routing_policy;

// One way between an entry instance and a backend server.
inline constexpr duration backend_hop{250};
// One way between two entry instances.
inline constexpr duration peer_hop{1000};
// Places in a backend server's own queue, for each of its slots.
inline constexpr unsigned backend_queue_per_slot = 2;

// Where a policy's decisions are carried out: the calendar, the fakes of the
// backend servers, and the callers' side of every call.
class replay_world {
public:
    using result_handler =
        std::function<void(const attempt_result&, duration service_time)>;

    explicit replay_world(const workload& load);

    // Runs the whole workload under that policy.
    run_figures run(routing_policy& policy);

    calendar& times() { return times_; }
    const workload& load() const { return load_; }
    run_statistics& statistics() { return statistics_; }
    bool measuring() const;
    std::size_t backend_servers() const { return backends_.size(); }
    // What a probe of the server brings.
    backend_load told_load(std::size_t server) const {
        return backends_[server].told_load();
    }
    // For policies that know what nobody can.
    double true_slowness(std::size_t server) const {
        return backends_[server].true_slowness();
    }
    // The load report of a backend server, as of now.
    unsigned reported_load(std::size_t server) const {
        return backends_[server].load();
    }
    // Callers who want an answer within a target have one deadline for all
    // that they try; others start anew whenever they come back.
    time_point deadline_of(const call& of) const {
        return (has_target(of) ? of.first_arrived_at : of.arrives_at) +
               of.allowed;
    }
    const work_profile& work_of(const call& of) const {
        return load_.size.work_of(of);
    }
    bool has_target(const call& of) const {
        return work_of(of).target > duration::zero();
    }

    // Sends an attempt; at the deadline it is cancelled as timed out. The
    // handler is called once. The id returned can be cancelled.
    std::uint64_t send(const call& of, unsigned attempt, std::size_t server,
                       result_handler handler);
    void cancel(std::uint64_t attempt_id);

    // Ends of a call, as its caller sees them.
    void answer(const call& of);
    void fail(const call& of);
    void refuse(const call& of, duration retry_after);

private:
    struct attempt_in_flight {
        std::size_t server;
        time_point sent_at;
        result_handler handler;
    };

    void arrive_next();
    void earn(const call& of, double worth);
    duration patience(const call& of, duration retry_after) const;
    void conclude(std::uint64_t attempt_id, const attempt_result& result);

    const workload& load_;
    calendar times_;
    std::vector<backend_model> backends_;
    run_statistics statistics_;
    routing_policy* policy_ = nullptr;
    std::size_t next_call_ = 0;
    std::uint64_t next_attempt_ = 1;
    std::unordered_map<std::uint64_t, attempt_in_flight> in_flight_;
};

} // namespace waxwingvale::replay
