#include "decision/contention_profile.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// Weight of the prior "no slowdown", in answers: service times vary by a third
// or more, so that a few slow answers prove nothing.
constexpr double prior_answers = 6;
// Maximum weight of a cell, in answers; beyond it, new answers replace old
// ones.
constexpr double max_cell_weight = 100;
// Factor by which each answer reduces the weight of all cells. It lets servers
// be filled again, some 80,000 answers after they were found to be slow when
// full.
constexpr double decay_per_answer = 0.99998;
// Slowdowns up to a fifth are within the error of the recorded answers.
constexpr double negligible_log_slowdown = 0.2;
// Standard errors by which the mean must exceed 0 to count as a slowdown. A
// concurrency that is taken for slow by chance is not used again for long. With
// a lower limit, servers without contention, whose answers varied by 0.6, lost
// one of six slots in 15 runs of 25. The times to come back that refused
// callers are told depend on the slots, so that three times as many callers
// came back in one tenth of a second as in others.
constexpr double min_standard_errors = 3;
// Lower bound: a few answers that are alike by chance do not show the
// variation.
constexpr double min_deviation = 0.2;
// Servers with more slots count as free of contention: one more request among
// so many does not measurably slow down the others.
constexpr unsigned max_tracked_slots = 4096;

unsigned moderate_load_limit(unsigned slots) {
    return std::max(slots * 2 / 3, 1U);
}

} // namespace

bool contention_profile::is_lightly_loaded(unsigned running, unsigned slots) {
    return running <= std::max(slots / 2, 1U);
}

bool contention_profile::is_moderately_loaded(unsigned running,
                                              unsigned slots) {
    return running <= moderate_load_limit(slots);
}

contention_profile::profile* contention_profile::profile_of(unsigned slots) {
    if (slots == 0 || slots > max_tracked_slots) {
        return nullptr;
    }
    if (by_slots_.size() <= slots) {
        by_slots_.resize(slots + 1);
    }
    profile& known = by_slots_[slots];
    if (known.cells.empty()) {
        known.cells.resize(slots);
        refresh(known);
    }
    return &known;
}

void contention_profile::cell::scale(double factor) {
    sum *= factor;
    squares *= factor;
    weight *= factor;
}

void contention_profile::cell::replace_oldest() {
    scale(1.0 - 1.0 / weight);
}

void contention_profile::cell::add(double log_ratio) {
    sum += log_ratio;
    squares += log_ratio * log_ratio;
    weight += 1;
}

double contention_profile::cell::log_slowdown() const {
    if (weight <= 0) {
        return 0;
    }
    const double observed_mean = sum / weight;
    const double variance =
        std::max(squares / weight - observed_mean * observed_mean, 0.0);
    const double deviation = std::max(std::sqrt(variance), min_deviation);
    const double error = deviation / std::sqrt(weight);
    const double shrunk_mean = sum / (weight + prior_answers);
    const bool significant = observed_mean > min_standard_errors * error;
    return significant && shrunk_mean > negligible_log_slowdown ? shrunk_mean
                                                                : 0;
}

void contention_profile::add(unsigned running, unsigned slots,
                             double log_ratio) {
    profile* of = profile_of(slots);
    if (of == nullptr || running > slots || is_lightly_loaded(running, slots)) {
        return;
    }
    for (cell& each : of->cells) {
        each.scale(decay_per_answer);
    }
    cell& updated = of->cells[running - 1];
    if (updated.weight >= max_cell_weight) {
        updated.replace_oldest();
    }
    updated.add(log_ratio);
    refresh(*of);
}

void contention_profile::refresh(profile& of) {
    of.log_slowdowns.clear();
    of.slowdowns.clear();
    of.best = 1;
    double max_throughput = 0;
    double highest = 0;
    for (std::size_t i = 0; i < of.cells.size(); ++i) {
        highest = std::max(highest, of.cells[i].log_slowdown());
        of.log_slowdowns.push_back(highest);
        of.slowdowns.push_back(std::exp(highest));
        const double throughput =
            static_cast<double>(i + 1) / of.slowdowns.back();
        if (throughput > max_throughput) {
            max_throughput = throughput;
            of.best = static_cast<unsigned>(i + 1);
        }
    }
}

const contention_profile::profile*
contention_profile::find(unsigned slots) const {
    const bool exists =
        slots < by_slots_.size() && !by_slots_[slots].cells.empty();
    return exists ? &by_slots_[slots] : nullptr;
}

double contention_profile::log_slowdown(unsigned running,
                                        unsigned slots) const {
    const profile* known = find(slots);
    if (known == nullptr || running == 0) {
        return 0;
    }
    const auto& slowdowns = known->log_slowdowns;
    return slowdowns[std::min<std::size_t>(running, slowdowns.size()) - 1];
}

double contention_profile::slowdown(unsigned running, unsigned slots) const {
    const profile* known = find(slots);
    if (known == nullptr || running == 0) {
        return 1;
    }
    const auto& slowdowns = known->slowdowns;
    return slowdowns[std::min<std::size_t>(running, slowdowns.size()) - 1];
}

unsigned contention_profile::best_concurrency(unsigned slots) const {
    const profile* known = find(slots);
    return known == nullptr ? slots : known->best;
}

} // namespace waxwingvale::decision
