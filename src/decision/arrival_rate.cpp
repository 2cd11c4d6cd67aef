#include "decision/arrival_rate.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

constexpr double time_constant_us = 500000; // of the exponential decay
// Over a shorter time, a few arrivals give no meaningful rate.
constexpr double min_observation_us = 200000;
constexpr double microseconds_per_second = 1e6;

} // namespace

void arrival_rate::add(time_point now, double amount) {
    rate_at_last_ =
        decayed(now) + amount * microseconds_per_second / time_constant_us;
    last_arrival_ = now;
    first_arrival_ = first_arrival_.value_or(now);
}

double arrival_rate::decayed(time_point now) const {
    const auto age = static_cast<double>((now - last_arrival_).count());
    return rate_at_last_ * std::exp(-age / time_constant_us);
}

double arrival_rate::per_second(time_point now) const {
    if (!first_arrival_) {
        return 0;
    }
    const auto since = static_cast<double>((now - *first_arrival_).count());
    const double observed =
        std::max(since, min_observation_us) / time_constant_us;
    return decayed(now) / (1.0 - std::exp(-observed));
}

} // namespace waxwingvale::decision
