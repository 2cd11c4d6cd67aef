#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

#include "waxwing_replay/calendar.hpp"
#include "waxwing_replay/workload.hpp"
#include <waxwingvale/decision/scheduler_events.hpp>

namespace waxwingvale::replay {

// How one attempt ended at a backend server.
struct attempt_result {
    decision::attempt_verdict verdict = decision::attempt_verdict::answered;
    bool leaving = false;             // it said that it is leaving
    std::optional<backend_load> load; // where the server tells it
};

// A fake of one backend server: slots, a short queue of its own, shedding
// when that is full, cancellation, deadlines, and the faults of a workload.
class backend_model {
public:
    using done = std::function<void(const attempt_result&)>;

    backend_model(calendar& times, unsigned slots, unsigned queue_limit);

    // The server stands on a machine of that kind. The seed tells its own
    // course from that of other servers.
    void stand_on(const machine_profile& machine, std::uint64_t seed);

    void add_fault(const fault& known) { faults_.push_back(known); }
    // Runs an attempt that takes that long when all is well.
    void submit(std::uint64_t attempt, duration service_time,
                time_point deadline, done when_done);
    // The connection was closed: the slot or place is free at once.
    void cancel(std::uint64_t attempt);
    // What its load endpoint says: requests, and all that answers tell too.
    unsigned load() const {
        return in_service_ + static_cast<unsigned>(waiting_.size());
    }
    backend_load told_load() const;
    // How many times longer than usual work takes that begins now, crowding
    // left aside; a straggler tells nothing of it.
    double true_slowness() const;

private:
    struct job {
        std::uint64_t attempt;
        duration service_time;
        time_point deadline;
        done when_done;
    };

    bool has(fault_kind kind) const;
    unsigned open_slots() const;
    unsigned queue_room() const;
    double slowness() const;
    attempt_result with_load(attempt_result result) const;
    void run(job next);
    void finish(std::uint64_t attempt);
    void next_job();

    calendar& times_;
    unsigned slots_;
    unsigned queue_limit_;
    unsigned in_service_ = 0;
    std::deque<job> waiting_;
    std::unordered_map<std::uint64_t, job> running_;
    std::vector<fault> faults_;
    machine_profile machine_;
    std::uint64_t machine_seed_ = 0;
};

} // namespace waxwingvale::replay
