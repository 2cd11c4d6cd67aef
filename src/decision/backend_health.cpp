#include "decision/backend_health.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// While a straggler is only sampled, each answer must count for more, or it
// would stay shut out long after it recovered.
constexpr double sampled_gain = 0.5;

// A first failure after recovery must not shut a server out again at once.
constexpr double recovered_share = 0.2;

} // namespace

void backend_health::add(attempt_verdict verdict, double relative_log,
                         time_point now, const scheduling_policy& policy) {
    switch (verdict) {
    case attempt_verdict::answered:
        add_time(relative_log, now, policy);
        add_failure(false, false, now, policy);
        break;
    case attempt_verdict::timed_out:
    case attempt_verdict::cancelled:
        // It would have taken longer still: only word that it is slow.
        if (relative_log > relative_log_) {
            add_time(relative_log, now, policy);
        }
        break;
    case attempt_verdict::failed:
        // A quick error says nothing of the time an answer takes; counted as
        // one, it would draw every request to the server that fails.
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

void backend_health::add_time(double relative_log, time_point now,
                              const scheduling_policy& policy) {
    const double gain = straggler_ ? sampled_gain : policy.slowness_gain;
    relative_log_ += gain * (relative_log - relative_log_);
    slowness_ = std::exp(relative_log_);
    slow_ = slowness_ > policy.recovered_ratio;
    straggler_ = slow_ && (straggler_ || slowness_ > policy.straggler_ratio);
    if (straggler_) {
        straggler_pause_ =
            std::clamp(straggler_pause_ * 2, policy.straggler_sample,
                       policy.straggler_sample_max);
        next_sample_ = now + straggler_pause_;
    } else {
        straggler_pause_ = duration::zero();
        next_sample_ = now + policy.straggler_sample;
    }
}

void backend_health::add_failure(bool failed, bool unreachable, time_point now,
                                 const scheduling_policy& policy) {
    failure_share_ +=
        policy.failure_gain * ((failed ? 1.0 : 0.0) - failure_share_);
    if (!failed) {
        if (failing_) {
            failing_ = false;
            failure_share_ = recovered_share;
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

void backend_health::sample_taken(time_point now,
                                  const scheduling_policy& policy) {
    // Until the sample's verdict is known no second one is sent.
    next_sample_ = now + std::max(failing_pause_, policy.straggler_sample_max);
}

} // namespace waxwingvale::decision
