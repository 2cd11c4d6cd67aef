#include "decision/backend_health.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// Weight of an answer of a straggler. A straggler gets only few samples, so
// with the normal weight it would stay excluded long after it recovered.
constexpr double straggler_gain = 0.5;

// Low enough that the first failure after a recovery does not exclude the
// server again.
constexpr double failure_share_after_recovery = 0.2;

} // namespace

void backend_health::add(attempt_verdict verdict,
                         std::optional<double> log_ratio, time_point now,
                         const scheduling_policy& policy) {
    switch (verdict) {
    case attempt_verdict::answered:
        if (log_ratio) {
            add_time(*log_ratio, now, policy);
        }
        add_failure(false, false, now, policy);
        break;
    case attempt_verdict::timed_out:
    case attempt_verdict::cancelled:
        // The answer would have taken even longer, so the time is only a lower
        // bound: it can show that the server is slow, but not that it is fast.
        if (log_ratio && *log_ratio > log_slowness_) {
            add_time(*log_ratio, now, policy);
        }
        break;
    case attempt_verdict::failed:
        // The time of an error does not count as a response time. Otherwise
        // fast errors would attract all requests to the failing server.
        add_failure(true, false, now, policy);
        break;
    case attempt_verdict::died:
    case attempt_verdict::connect_refused:
        add_failure(true, true, now, policy);
        break;
    case attempt_verdict::shed:
        break;
    }
}

void backend_health::add_rest(duration wanted, time_point now,
                              const scheduling_policy& policy) {
    add_failure(true, true, now, policy);
    asked_for_rest_ = true;
    failing_pause_ =
        std::min(failing_pause_, std::max(wanted, policy.failing_pause_min));
    next_sample_ = now + failing_pause_;
}

void backend_health::add_time(double log_ratio, time_point now,
                              const scheduling_policy& policy) {
    const double gain = straggler_ ? straggler_gain : policy.slowness_gain;
    log_slowness_ += gain * (log_ratio - log_slowness_);
    slowness_ = std::exp(log_slowness_);
    slow_ = slowness_ > policy.recovered_ratio;
    straggler_ = slow_ && (straggler_ || slowness_ > policy.straggler_ratio);
    if (straggler_) {
        straggler_interval_ =
            std::clamp(straggler_interval_ * 2, policy.straggler_sample,
                       policy.straggler_sample_max);
        next_sample_ = now + straggler_interval_;
    } else {
        straggler_interval_ = duration::zero();
        next_sample_ = now + policy.straggler_sample;
    }
}

void backend_health::add_failure(bool failed, bool unreachable, time_point now,
                                 const scheduling_policy& policy) {
    asked_for_rest_ = false;
    failure_share_ +=
        policy.failure_gain * ((failed ? 1.0 : 0.0) - failure_share_);
    if (!failed) {
        if (failing_) {
            failing_ = false;
            failure_share_ = failure_share_after_recovery;
        }
        failing_pause_ = duration::zero();
        return;
    }
    if (!failing_ && !unreachable && failure_share_ < policy.failing_share) {
        return;
    }
    failing_ = true;
    failing_pause_ = std::clamp(failing_pause_ * 2, policy.failing_pause_min,
                                policy.failing_pause_max);
    next_sample_ = now + failing_pause_;
}

void backend_health::sample_started(time_point now,
                                    const scheduling_policy& policy) {
    // Prevents a second sample before the verdict of this one is known.
    next_sample_ = now + std::max(failing_pause_, policy.straggler_sample_max);
}

} // namespace waxwingvale::decision
