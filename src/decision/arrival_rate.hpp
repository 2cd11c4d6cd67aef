#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How much arrives a second, over about the last half second: long enough to be
// no chance, short enough to follow a wave of callers.
class arrival_rate {
public:
    void add(time_point now, double amount = 1);
    double per_second(time_point now) const;

private:
    double at_last_ = 0; // per second, at the moment of the last arrival
    time_point last_{};
};

} // namespace waxwingvale::decision
