#pragma once

#include <optional>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How much arrives a second, over about the last half second: long enough to be
// no chance, short enough to follow a wave of callers. At first it is what has
// arrived since the first arrival: compared with half a second of which most
// has not passed yet, a rush at the start would look like calm.
class arrival_rate {
public:
    void add(time_point now, double amount = 1);
    double per_second(time_point now) const;

private:
    double decayed(time_point now) const;

    double at_last_ = 0; // per second, at the moment of the last arrival
    time_point last_{};
    std::optional<time_point> first_;
};

} // namespace waxwingvale::decision
