#include "decision/slowness_process.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// Levels stand for paces a factor of the square root of two apart, from
// somewhat quicker than usual on.
constexpr double levels_per_octave = 2;
constexpr double first_level = -1;

// Between sightings further apart the pace may have changed and changed back.
constexpr double longest_gap_s = 0.1;

// What stands for experience at first: the usual pace, changing about once a
// second, so that word a tenth of a second old is believed.
constexpr double prior_seconds = 0.5;
constexpr double prior_changes = 0.5;

// Seconds of experience, over all servers, beside which the first guess counts
// for a fifth.
constexpr double known_after_s = 2;

// Seconds of experience, over all servers, before the older half fades.
constexpr double memory_s = 60;

constexpr double microseconds_per_second = 1e6;

std::size_t level_of(double slowness) {
    const double place = std::log2(slowness) * levels_per_octave - first_level;
    const double last = slowness_process::level_count - 1;
    return static_cast<std::size_t>(std::clamp(std::round(place), 0.0, last));
}

double log_slowness_at(std::size_t place) {
    const double octaves =
        (static_cast<double>(place) + first_level) / levels_per_octave;
    return octaves * std::log(2.0);
}

} // namespace

slowness_process::slowness_process() {
    time_[level_of(1.0)] = prior_seconds;
    changes_ = prior_changes;
    refresh();
}

void slowness_process::see(double before, double now, duration gap) {
    const double gap_s =
        static_cast<double>(gap.count()) / microseconds_per_second;
    if (gap_s <= 0 || gap_s > longest_gap_s) {
        return;
    }
    time_[level_of(before)] += gap_s;
    changes_ += level_of(before) == level_of(now) ? 0.0 : 1.0;
    refresh();
}

// For a process that draws its next pace independently of the present one,
// with rate r, changes are seen at r times the probability that two draws
// differ. Word fades with r.
void slowness_process::refresh() {
    double total = 0;
    for (const double seconds : time_) {
        total += seconds;
    }
    known_ = known_ || total >= prior_seconds + known_after_s;
    if (total > memory_s) {
        for (double& seconds : time_) {
            seconds /= 2;
        }
        changes_ /= 2;
        total /= 2;
    }
    double differ = 0;
    mean_slowness_ = 0;
    for (std::size_t i = 0; i < level_count; ++i) {
        const double share = time_[i] / total;
        levels_[i] = {log_slowness_at(i), share};
        differ += share * (1 - share);
        mean_slowness_ += share * std::exp(levels_[i].log_slowness);
    }
    relaxation_us_ = differ * total / changes_ * microseconds_per_second;
}

double slowness_process::holds(duration age) const {
    if (relaxation_us_ <= 0) {
        return 1;
    }
    return std::exp(-static_cast<double>(age.count()) / relaxation_us_);
}

} // namespace waxwingvale::decision
