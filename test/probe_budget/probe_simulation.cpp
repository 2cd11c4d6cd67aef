#include "probe_budget/probe_simulation.hpp"

#include <algorithm>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace probe_model {
namespace {

constexpr std::size_t entry_count = 6;
constexpr double rate = 0.5;
constexpr auto settling_time = std::chrono::milliseconds(800);
constexpr auto tick = std::chrono::milliseconds(50);
constexpr double micros_per_second = 1e6;
const std::string backend = "b0";

// Each of the two sides of a partition may send one probe above the rate.
constexpr double burst = 2;

} // namespace

const std::vector<probe_simulation::handler>& probe_simulation::handlers() {
    static const std::vector<handler> all{
        &probe_simulation::move_owner,     &probe_simulation::partition,
        &probe_simulation::heal_partition, &probe_simulation::restart_entry,
        &probe_simulation::advance_time,   &probe_simulation::advance_time,
        &probe_simulation::advance_time,
    };
    return all;
}

probe_simulation::probe_simulation(const probe_rules& rules)
    : rules_(rules), far_side_(entry_count, false) {
    limits_.rate = rate;
    limits_.settling_time =
        rules.new_owner_waits ? duration(settling_time) : duration(0);
    for (std::size_t at = 0; at < entry_count; ++at) {
        entries_.emplace_back(limits_);
        apply_update({now_, at, 0, 1});
    }
}

std::string probe_simulation::run(const standin::schedule& steps) {
    for (const auto& step : steps) {
        (this->*handlers()[step.kind % handlers().size()])(step);
    }
    check_windows();
    return violated_;
}

std::size_t probe_simulation::owner_for(std::size_t entry) const {
    for (std::size_t at = 0; at < entry_count; ++at) {
        const auto candidate = (first_candidate_ + at) % entry_count;
        if (far_side_[candidate] == far_side_[entry]) {
            return candidate;
        }
    }
    return entry;
}

double probe_simulation::share_of(std::size_t entry) const {
    const auto same_side =
        std::count(far_side_.begin(), far_side_.end(), far_side_[entry]);
    return static_cast<double>(same_side) / entry_count;
}

void probe_simulation::announce_change(const standin::step& step) {
    // Each instance learns of the change at its own time within the settling
    // time.
    for (std::size_t at = 0; at < entry_count; ++at) {
        const auto delay_percent = (step.a * 7 + step.b * 13 * (at + 1)) % 100;
        const auto after =
            duration(settling_time) * static_cast<int>(delay_percent) / 100;
        const double share = rules_.rate_follows_share ? share_of(at) : 1.0;
        pending_.push_back({now_ + after, at, owner_for(at), share});
    }
    settled_at_ = now_ + settling_time;
}

void probe_simulation::move_owner(const standin::step& step) {
    if (now_ >= settled_at_) {
        first_candidate_ = step.c % entry_count;
        announce_change(step);
    }
}

void probe_simulation::partition(const standin::step& step) {
    if (now_ < settled_at_) {
        return;
    }
    for (std::size_t at = 0; at < entry_count; ++at) {
        far_side_[at] = (step.c >> at) % 2 == 1;
    }
    announce_change(step);
}

void probe_simulation::heal_partition(const standin::step& step) {
    if (now_ >= settled_at_) {
        far_side_.assign(entry_count, false);
        announce_change(step);
    }
}

void probe_simulation::restart_entry(const standin::step& step) {
    if (now_ < settled_at_) {
        return;
    }
    const auto at = step.a % entry_count;
    entries_[at] = probe_budget(limits_);
    apply_update({now_, at, owner_for(at),
                  rules_.rate_follows_share ? share_of(at) : 1.0});
}

void probe_simulation::apply_update(const pending_update& update) {
    auto& entry = entries_[update.entry];
    entry.set_reachable_share(update.share, now_);
    if (update.owner == update.entry) {
        entry.on_ownership_gained(backend, now_);
    } else {
        entry.on_ownership_lost(backend);
    }
}

void probe_simulation::advance_time(const standin::step& step) {
    advance(std::chrono::milliseconds(step.a * 5));
}

void probe_simulation::advance(duration by) {
    const auto end = now_ + by;
    while (now_ < end) {
        now_ += tick;
        for (const auto& update : pending_) {
            if (update.at <= now_) {
                apply_update(update);
            }
        }
        pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                      [&](const auto& update) {
                                          return update.at <= now_;
                                      }),
                       pending_.end());
        send_allowed_probes();
    }
}

void probe_simulation::send_allowed_probes() {
    for (auto& entry : entries_) {
        if (entry.try_probe(backend, now_)) {
            sent_.push_back(now_);
        }
    }
}

void probe_simulation::check_windows() {
    for (std::size_t first = 0; first < sent_.size(); ++first) {
        for (std::size_t last = first; last < sent_.size(); ++last) {
            const auto window = sent_[last] - sent_[first];
            const double budget =
                rate * static_cast<double>(window.count()) / micros_per_second +
                burst;
            if (static_cast<double>(last - first + 1) > budget + 1e-6) {
                violated_ = "more probes than the budget in a window";
            }
        }
    }
}

} // namespace probe_model
