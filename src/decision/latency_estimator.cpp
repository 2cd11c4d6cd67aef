#include "decision/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// Weight of a new sample: 1/n for the n-th sample, but at least 1/max_samples.
constexpr unsigned max_samples = 64;
// Step of the quantile estimate, in log space. The estimate follows a change by
// a factor of e within about a hundred samples.
constexpr double quantile_step = 0.1;

// Spread before the first samples: two thirds are within a factor of 1.5 of the
// typical time.
constexpr double prior_spread = 0.4;
// Lower bound: a limited number of samples cannot show a smaller spread.
constexpr double min_spread = 0.15;
// A single answer that is eight times slower must not raise the spread as if
// all answers deviated.
constexpr double max_deviation = 1.0;

double microseconds(duration value) {
    return static_cast<double>(std::max<duration::rep>(value.count(), 1));
}

duration from_microseconds(double value) {
    return duration(static_cast<duration::rep>(value));
}

} // namespace

latency_estimator::latency_estimator(duration prior, double quantile)
    : quantile_(quantile),
      mean_(microseconds(prior)),
      typical_log_(std::log(mean_)),
      high_log_(typical_log_),
      log_variance_(prior_spread * prior_spread) {}

void latency_estimator::add(duration sample) {
    samples_ = std::min(samples_ + 1, max_samples);
    const double gain = 1.0 / samples_;
    const double value = microseconds(sample);
    const double log_value = std::log(value);
    const double deviation =
        std::clamp(log_value - typical_log_, -max_deviation, max_deviation);
    if (samples_ > 1) {
        log_variance_ += gain * (deviation * deviation - log_variance_);
    }
    mean_ += gain * (value - mean_);
    typical_log_ += gain * (log_value - typical_log_);
    // Stochastic approximation of a quantile: steps up and down balance when
    // the given share of samples lies below the estimate.
    high_log_ += log_value > high_log_ ? quantile_step * quantile_
                                       : quantile_step * (quantile_ - 1.0);
    high_log_ = std::max(high_log_, typical_log_);
}

duration latency_estimator::mean() const {
    return from_microseconds(mean_);
}

duration latency_estimator::typical() const {
    return from_microseconds(std::exp(typical_log_));
}

duration latency_estimator::high_quantile() const {
    return from_microseconds(std::exp(high_log_));
}

double latency_estimator::log_ratio_to_typical(duration sample) const {
    return std::log(microseconds(sample)) - typical_log_;
}

double latency_estimator::log_spread() const {
    return std::max(std::sqrt(log_variance_), min_spread);
}

} // namespace waxwingvale::decision
