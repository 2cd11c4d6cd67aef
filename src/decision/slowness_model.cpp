#include "decision/slowness_model.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// Adjacent levels differ by a factor of the square root of two. The lowest
// level is somewhat faster than normal.
constexpr double levels_per_octave = 2;
constexpr double lowest_level_half_octaves = -1;

// Between reports that are further apart, the slowness may have changed and
// changed back unnoticed.
constexpr double max_gap_s = 0.1;

// Prior: normal speed that changes about once a second, so that a report that
// is a tenth of a second old is trusted.
constexpr double prior_seconds = 0.5;
constexpr double prior_changes = 0.5;

// Observed seconds, over all servers, at which the prior has a weight of a
// fifth.
constexpr double min_experience_s = 2;

// Observed seconds, over all servers, at which the weight of all observations
// is halved.
constexpr double max_history_s = 60;

constexpr double microseconds_per_second = 1e6;

std::size_t level_of(double slowness) {
    const double level =
        std::log2(slowness) * levels_per_octave - lowest_level_half_octaves;
    const double last = slowness_model::level_count - 1;
    return static_cast<std::size_t>(std::clamp(std::round(level), 0.0, last));
}

double log_slowness_at(std::size_t level) {
    const double octaves =
        (static_cast<double>(level) + lowest_level_half_octaves) /
        levels_per_octave;
    return octaves * std::log(2.0);
}

} // namespace

slowness_model::slowness_model() {
    level_seconds_[level_of(1.0)] = prior_seconds;
    changes_ = prior_changes;
    refresh();
}

void slowness_model::observe(double before, double now, duration gap) {
    const double gap_s =
        static_cast<double>(gap.count()) / microseconds_per_second;
    if (gap_s <= 0 || gap_s > max_gap_s) {
        return;
    }
    level_seconds_[level_of(before)] += gap_s;
    changes_ += level_of(before) == level_of(now) ? 0.0 : 1.0;
    refresh();
}

// If the slowness is redrawn at a rate r, independently of its present value,
// then changes are observed at r times the probability that two draws differ.
// The validity of a report decays at the rate r.
void slowness_model::refresh() {
    double total = 0;
    for (const double seconds : level_seconds_) {
        total += seconds;
    }
    has_enough_data_ =
        has_enough_data_ || total >= prior_seconds + min_experience_s;
    if (total > max_history_s) {
        for (double& seconds : level_seconds_) {
            seconds /= 2;
        }
        changes_ /= 2;
        total /= 2;
    }
    double change_probability = 0;
    mean_slowness_ = 0;
    for (std::size_t i = 0; i < level_count; ++i) {
        const double share = level_seconds_[i] / total;
        levels_[i] = {log_slowness_at(i), share};
        change_probability += share * (1 - share);
        mean_slowness_ += share * std::exp(levels_[i].log_slowness);
    }
    relaxation_us_ =
        change_probability * total / changes_ * microseconds_per_second;
}

double slowness_model::probability_unchanged(duration age) const {
    if (relaxation_us_ <= 0) {
        return 1;
    }
    return std::exp(-static_cast<double>(age.count()) / relaxation_us_);
}

} // namespace waxwingvale::decision
