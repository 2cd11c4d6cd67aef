#include "decision/offered_load.hpp"

namespace waxwingvale::decision {

void offered_load::add(unsigned priority, duration work, time_point now) {
    arrivals_.add(now);
    const double seconds = std::chrono::duration<double>(work).count();
    slot_seconds_[priority].add(now, seconds);
}

double offered_load::slots_needed(time_point now) const {
    double sum = 0;
    for (const auto& each : slot_seconds_) {
        sum += each.second.per_second(now);
    }
    return sum;
}

double offered_load::slots_needed_above(unsigned priority,
                                        time_point now) const {
    double sum = 0;
    const auto end = slot_seconds_.lower_bound(priority);
    for (auto it = slot_seconds_.begin(); it != end; ++it) {
        sum += it->second.per_second(now);
    }
    return sum;
}

double offered_load::arrivals_per_second(time_point now) const {
    return arrivals_.per_second(now);
}

} // namespace waxwingvale::decision
