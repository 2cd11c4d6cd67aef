#pragma once

#include <array>
#include <cstddef>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How the machines below a service's backend servers change their pace, learned
// from what the servers tell of it: which paces there are, what share of time
// each takes, and for how long word of one holds. Servers share their machines
// with others; deployments differ in how much that shows.
class slowness_process {
public:
    static constexpr std::size_t level_count = 10;

    // One pace, and the share of time for which a server has it.
    struct level {
        double log_slowness = 0;
        double share = 0;
    };

    slowness_process();

    // A server told one pace and, after that gap, another or the same.
    void see(double before, double now, duration gap);

    // The probability that word of that age is still about the present. When
    // it is not, the pace is drawn from levels().
    double holds(duration age) const;
    const std::array<level, level_count>& levels() const { return levels_; }
    // Whether enough was seen for levels() to be more than a first guess.
    bool known() const { return known_; }
    // The time that work takes on average, against the usual.
    double mean_slowness() const { return mean_slowness_; }

private:
    void refresh();

    std::array<double, level_count> time_{}; // seconds seen at each level
    double changes_ = 0;
    double relaxation_us_ = 0; // 0: only one pace was ever seen
    double mean_slowness_ = 1;
    bool known_ = false;
    std::array<level, level_count> levels_{};
};

} // namespace waxwingvale::decision
