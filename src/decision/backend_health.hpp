#pragma once

#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// What the answers of one backend server tell of it: whether it is slower
// than its fellows, and whether it fails. Nothing is asked of the server.
class backend_health {
public:
    // An attempt ended; relative_log compares its time with the usual.
    void add(attempt_verdict verdict, double relative_log, time_point now,
             const scheduling_policy& policy);

    bool straggler() const { return straggler_; }
    // Slower than usual, by more than chance: used last.
    bool slow() const { return slow_; }
    // Gets a request now and then to see whether it recovered.
    bool watched() const { return failing_ || slow_; }
    // How much slower than usual: 1 is usual.
    double slowness() const { return slowness_; }
    double failure_share() const { return failure_share_; }

    // Passed over since its attempts fail. Whether that is acted on is
    // decided by who knows the other servers.
    bool failing() const { return failing_; }
    bool sample_due(time_point now) const { return now >= next_sample_; }
    void sample_taken(time_point now, const scheduling_policy& policy);
    time_point next_sample() const { return next_sample_; }

private:
    void add_time(double relative_log, time_point now,
                  const scheduling_policy& policy);
    void add_failure(bool failed, bool unreachable, time_point now,
                     const scheduling_policy& policy);

    double relative_log_ = 0;
    double slowness_ = 1; // its exponential, which is dear
    double failure_share_ = 0;
    bool slow_ = false;
    bool straggler_ = false;
    bool failing_ = false;
    duration failing_pause_{};   // doubles with every failed sample
    duration straggler_pause_{}; // doubles with every slow sample
    time_point next_sample_{};
};

} // namespace waxwingvale::decision
