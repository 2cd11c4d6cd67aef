#pragma once

#include <array>
#include <cstddef>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Model of how the slowness of a service's backend servers changes over time,
// learned from their load reports: the levels of slowness, the share of time
// that servers spend at each, and for how long a report stays valid. Backend
// servers share their machines with other software, which slows them down more
// in some deployments than in others.
class slowness_model {
public:
    static constexpr std::size_t level_count = 10;

    // A level of slowness and the share of time that servers spend at it.
    struct level {
        double log_slowness = 0;
        double share = 0;
    };

    slowness_model();

    // Records two successive reports of one server, `gap` apart.
    void observe(double before, double now, duration gap);

    // The probability that the slowness is still the one reported `age` ago. If
    // it has changed, its distribution is levels().
    double probability_unchanged(duration age) const;
    const std::array<level, level_count>& levels() const { return levels_; }
    // Whether levels() depends mainly on reports and no longer on the prior.
    bool has_enough_data() const { return has_enough_data_; }
    // Mean slowness over time; 1 is not slowed down.
    double mean_slowness() const { return mean_slowness_; }

private:
    void refresh();

    std::array<double, level_count>
        level_seconds_{}; // seconds observed at each level
    double changes_ = 0;
    double relaxation_us_ = 0; // 0: only one level was ever observed
    double mean_slowness_ = 1;
    bool has_enough_data_ = false;
    std::array<level, level_count> levels_{};
};

} // namespace waxwingvale::decision
