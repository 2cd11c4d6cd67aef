#include "decision/crowding_profile.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// Answers that stand for "no slower" at first: service times spread by a third
// or more, so a few slow ones prove nothing.
constexpr double prior_weight = 6;
// Answers that count: later ones replace the oldest.
constexpr double memory = 100;
// What every answer leaves of the others' experience: full servers that are no
// longer used for being slow are tried again after some 80,000 answers.
constexpr double fading = 0.99998;
// Up to a fifth longer is within the error of that many answers.
constexpr double negligible_log = 0.2;
// Taken for slow by chance, a number of requests is not used again for long. Of
// servers that do not slow down, whose answers spread by 0.6, one of six slots
// was lost so in 15 runs of 25, and callers that were told moments to come back
// by it came three times as many in one tenth of a second as in others.
constexpr double errors_that_prove = 3;
// A few answers that happen to be alike do not show how much they spread.
constexpr double least_deviation = 0.2;
// A server of more slots than this counts as never crowded: one more request
// among so many does not show in what the others take.
constexpr unsigned most_slots = 4096;

unsigned fairly_roomy_count(unsigned slots) {
    return std::max(slots * 2 / 3, 1U);
}

} // namespace

bool crowding_profile::is_roomy(unsigned running, unsigned slots) {
    return running <= std::max(slots / 2, 1U);
}

bool crowding_profile::is_fairly_roomy(unsigned running, unsigned slots) {
    return running <= fairly_roomy_count(slots);
}

crowding_profile::profile* crowding_profile::profile_of(unsigned slots) {
    if (slots == 0 || slots > most_slots) {
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

void crowding_profile::cell::fade(double part) {
    sum *= part;
    squares *= part;
    weight *= part;
}

void crowding_profile::cell::replace_oldest() {
    fade(1.0 - 1.0 / weight);
}

void crowding_profile::cell::add(double relative_log) {
    sum += relative_log;
    squares += relative_log * relative_log;
    weight += 1;
}

double crowding_profile::cell::log_ratio() const {
    if (weight <= 0) {
        return 0;
    }
    const double seen = sum / weight;
    const double variance = std::max(squares / weight - seen * seen, 0.0);
    const double deviation = std::max(std::sqrt(variance), least_deviation);
    const double error = deviation / std::sqrt(weight);
    const double mean = sum / (weight + prior_weight);
    const bool proved = seen > errors_that_prove * error;
    return proved && mean > negligible_log ? mean : 0;
}

void crowding_profile::add(unsigned running, unsigned slots,
                           double relative_log) {
    profile* of = profile_of(slots);
    if (of == nullptr || running > slots || is_roomy(running, slots)) {
        return;
    }
    for (cell& each : of->cells) {
        each.fade(fading);
    }
    cell& at = of->cells[running - 1];
    if (at.weight >= memory) {
        at.replace_oldest();
    }
    at.add(relative_log);
    refresh(*of);
}

void crowding_profile::refresh(profile& of) {
    of.log_ratios.clear();
    of.ratios.clear();
    of.best = 1;
    double most_done = 0;
    double highest = 0;
    for (std::size_t i = 0; i < of.cells.size(); ++i) {
        highest = std::max(highest, of.cells[i].log_ratio());
        of.log_ratios.push_back(highest);
        of.ratios.push_back(std::exp(highest));
        const double done = static_cast<double>(i + 1) / of.ratios.back();
        if (done > most_done) {
            most_done = done;
            of.best = static_cast<unsigned>(i + 1);
        }
    }
}

const crowding_profile::profile* crowding_profile::find(unsigned slots) const {
    const bool seen =
        slots < by_slots_.size() && !by_slots_[slots].cells.empty();
    return seen ? &by_slots_[slots] : nullptr;
}

double crowding_profile::log_ratio(unsigned running, unsigned slots) const {
    const profile* known = find(slots);
    if (known == nullptr || running == 0) {
        return 0;
    }
    const auto& ratios = known->log_ratios;
    return ratios[std::min<std::size_t>(running, ratios.size()) - 1];
}

double crowding_profile::ratio(unsigned running, unsigned slots) const {
    const profile* known = find(slots);
    if (known == nullptr || running == 0) {
        return 1;
    }
    const auto& ratios = known->ratios;
    return ratios[std::min<std::size_t>(running, ratios.size()) - 1];
}

unsigned crowding_profile::best_count(unsigned slots) const {
    const profile* known = find(slots);
    return known == nullptr ? slots : known->best;
}

} // namespace waxwingvale::decision
