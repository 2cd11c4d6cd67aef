#include "decision/arrival_rate.hpp"

#include <cmath>

namespace waxwingvale::decision {

namespace {

constexpr double memory_us = 500000;
constexpr double microseconds_per_second = 1e6;

} // namespace

void arrival_rate::add(time_point now, double amount) {
    at_last_ = per_second(now) + amount * microseconds_per_second / memory_us;
    last_ = now;
}

double arrival_rate::per_second(time_point now) const {
    const auto age = static_cast<double>((now - last_).count());
    return at_last_ * std::exp(-age / memory_us);
}

} // namespace waxwingvale::decision
