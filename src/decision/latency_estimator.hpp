#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Running estimates of a service time: the mean for rates, a typical value
// that the rare slow call hardly moves, and a high quantile for margins.
class latency_estimator {
public:
    // Until answers were seen all estimates equal the prior (the file's
    // typical time).
    latency_estimator(duration prior, double quantile);

    void add(duration sample);

    duration mean() const;
    duration typical() const;
    duration high() const; // the quantile
    // log(sample / typical): 0 is usual, log(8) is eight times slower.
    double relative_log(duration sample) const;
    // Natural logarithm of the typical time in microseconds, and by how much
    // logarithms of samples deviate from it.
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
