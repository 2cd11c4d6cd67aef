#pragma once

#include <optional>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Rate of arrivals per second over about the last half second: long enough to
// even out random variation, short enough to follow a wave of callers. In the
// first half second it is taken over the time since the first arrival: over a
// full half second, a rush right after the start would look like low load.
class arrival_rate {
public:
    void add(time_point now, double amount = 1);
    double per_second(time_point now) const;

private:
    double decayed(time_point now) const;

    double rate_at_last_ = 0; // per second, at the last arrival
    time_point last_arrival_{};
    std::optional<time_point> first_arrival_;
};

} // namespace waxwingvale::decision
