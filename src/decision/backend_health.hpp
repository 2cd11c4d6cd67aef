#pragma once

#include <optional>

#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// Health of one backend server, derived from the outcomes of its attempts:
// whether it is slower than the other servers, and whether it fails. Sends no
// requests of its own.
class backend_health {
public:
    // Records the end of an attempt. log_ratio is the logarithm of its time
    // divided by the expected time, or empty if its time is unknown.
    void add(attempt_verdict verdict, std::optional<double> log_ratio,
             time_point now, const scheduling_policy& policy);

    // The server refused a request and asked for rest. Until a request is
    // answered it is sampled like a failing one, and at the latest when the
    // time is over.
    void add_rest(duration wanted, time_point now,
                  const scheduling_policy& policy);

    // Much slower than expected: gets no requests except samples, unless
    // waiting for another server takes longer.
    bool straggler() const { return straggler_; }
    // Slower than expected by more than random variation.
    bool slow() const { return slow_; }
    // Whether the server gets an occasional sample request that shows whether
    // it has recovered.
    bool needs_sampling() const { return failing_ || slow_; }
    // Smoothed ratio of actual to expected time; 1 is as expected.
    double slowness() const { return slowness_; }
    double failure_share() const { return failure_share_; }

    // Whether its attempts fail. slot_table, which knows the other servers,
    // decides whether the server is excluded for it.
    bool failing() const { return failing_; }
    // Whether a request that is sent to it may end with an unknown outcome.
    bool may_lose_requests() const { return failing_ && !asked_for_rest_; }
    bool sample_due(time_point now) const { return now >= next_sample_; }
    // Delays the next sample until the verdict of this one is known.
    void sample_started(time_point now, const scheduling_policy& policy);
    time_point next_sample() const { return next_sample_; }

private:
    void add_time(double log_ratio, time_point now,
                  const scheduling_policy& policy);
    void add_failure(bool failed, bool unreachable, time_point now,
                     const scheduling_policy& policy);

    double log_slowness_ = 0;
    double slowness_ = 1; // cached, because exp() is expensive
    double failure_share_ = 0;
    bool slow_ = false;
    bool straggler_ = false;
    bool failing_ = false;
    bool asked_for_rest_ = false;   // the last failure was a refusal
    duration failing_pause_{};      // doubles with each failed sample
    duration straggler_interval_{}; // doubles with each slow sample
    time_point next_sample_{};
};

} // namespace waxwingvale::decision
