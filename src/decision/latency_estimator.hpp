#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Running estimates of a service time: the mean (for rates), the geometric mean
// (a typical value that rare slow calls hardly change), and a high quantile
// (for safety margins).
class latency_estimator {
public:
    // Before the first sample all estimates equal the prior, the typical time
    // from the configuration.
    latency_estimator(duration prior, double quantile);

    void add(duration sample);

    duration mean() const;
    duration typical() const;       // geometric mean
    duration high_quantile() const; // the quantile given to the constructor
    // log(sample / typical()): 0 is typical, log(8) is eight times slower.
    double log_ratio_to_typical(duration sample) const;
    // Natural logarithm of the typical time in microseconds, and the standard
    // deviation of the logarithms of samples.
    double typical_log() const { return typical_log_; }
    double log_spread() const;
    unsigned samples() const { return samples_; }

private:
    double quantile_;
    double mean_;        // microseconds
    double typical_log_; // of microseconds
    double high_log_;    // of microseconds
    double log_variance_;
    unsigned samples_ = 0;
};

} // namespace waxwingvale::decision
