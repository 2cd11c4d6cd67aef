#include "decision/arrival_rate.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

constexpr double memory_us = 500000;
// In less time than this a few arrivals say nothing of their rate.
constexpr double least_time_us = 200000;
constexpr double microseconds_per_second = 1e6;

} // namespace

void arrival_rate::add(time_point now, double amount) {
    at_last_ = decayed(now) + amount * microseconds_per_second / memory_us;
    last_ = now;
    first_ = first_.value_or(now);
}

double arrival_rate::decayed(time_point now) const {
    const auto age = static_cast<double>((now - last_).count());
    return at_last_ * std::exp(-age / memory_us);
}

double arrival_rate::per_second(time_point now) const {
    if (!first_) {
        return 0;
    }
    const auto since = static_cast<double>((now - *first_).count());
    const double seen = std::max(since, least_time_us) / memory_us;
    return decayed(now) / (1.0 - std::exp(-seen));
}

} // namespace waxwingvale::decision
