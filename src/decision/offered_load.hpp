#pragma once

#include <map>

#include "decision/arrival_rate.hpp"

namespace waxwingvale::decision {

// Offered load of the requests with a target, by priority: how many slots that
// work at the usual pace would be kept busy by them.
class offered_load {
public:
    // Records a request that takes the given time at the usual pace.
    void add(unsigned priority, duration work, time_point now);

    double slots_needed(time_point now) const;
    // The same for the priorities higher than the given one; 0 is the highest.
    double slots_needed_above(unsigned priority, time_point now) const;
    double arrivals_per_second(time_point now) const;

private:
    arrival_rate arrivals_;
    // Seconds of slot time that arrive per second, by priority.
    std::map<unsigned, arrival_rate> slot_seconds_;
};

} // namespace waxwingvale::decision
