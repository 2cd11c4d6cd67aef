#pragma once

#include <map>

#include "decision/arrival_rate.hpp"

namespace waxwingvale::decision {

// What the requests that are to be answered within a target ask of the slots,
// by their priority: how many slots, at the usual pace, would be busy with
// them.
class offered_load {
public:
    // A request arrived, whose work takes that long at the usual pace.
    void add(unsigned priority, duration work, time_point now);

    double slots_needed(time_point now) const;
    // By requests of higher priorities than that; 0 is the highest.
    double slots_needed_before(unsigned priority, time_point now) const;
    double arrivals_per_second(time_point now) const;

private:
    arrival_rate arrivals_;
    std::map<unsigned, arrival_rate> slot_seconds_; // by priority
};

} // namespace waxwingvale::decision
