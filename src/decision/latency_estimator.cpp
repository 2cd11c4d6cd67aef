#include "decision/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// The first answers count in full, later ones as one of this many.
constexpr unsigned memory = 64;
// Step of the quantile in log space: the estimate follows a change by e
// within about a hundred answers.
constexpr double quantile_step = 0.1;

// Until answers were seen: two thirds within a factor of 1.5 of each other.
constexpr double prior_spread = 0.4;
// Fewer answers than this cannot show how little they deviate.
constexpr double least_spread = 0.15;
// One answer eight times slower says that there are such, not that all deviate.
constexpr double farthest_deviation = 1.0;

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
    samples_ = std::min(samples_ + 1, memory);
    const double gain = 1.0 / samples_;
    const double value = microseconds(sample);
    const double log_value = std::log(value);
    const double deviation = std::clamp(
        log_value - typical_log_, -farthest_deviation, farthest_deviation);
    if (samples_ > 1) {
        log_variance_ += gain * (deviation * deviation - log_variance_);
    }
    mean_ += gain * (value - mean_);
    typical_log_ += gain * (log_value - typical_log_);
    // Stochastic approximation of a quantile: steps up and down balance when
    // the wanted share of answers lies below.
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

duration latency_estimator::high() const {
    return from_microseconds(std::exp(high_log_));
}

double latency_estimator::relative_log(duration sample) const {
    return std::log(microseconds(sample)) - typical_log_;
}

double latency_estimator::log_spread() const {
    return std::max(std::sqrt(log_variance_), least_spread);
}

} // namespace waxwingvale::decision
