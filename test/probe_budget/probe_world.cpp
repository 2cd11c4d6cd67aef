#include "probe_budget/probe_world.hpp"

#include <algorithm>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace probe_model {
namespace {

constexpr std::size_t entry_count = 6;
constexpr double rate = 0.5;
constexpr auto settle = std::chrono::milliseconds(800);
constexpr auto tick = std::chrono::milliseconds(50);
constexpr double micros = 1e6;
const std::string backend = "b0";

// Two sides of a partition may each have one probe saved up.
constexpr double saved_up = 2;

} // namespace

const std::vector<probe_world::handler>& probe_world::handlers() {
    static const std::vector<handler> all{
        &probe_world::move_owner, &probe_world::part,
        &probe_world::heal,       &probe_world::restart,
        &probe_world::pass_time,  &probe_world::pass_time,
        &probe_world::pass_time,
    };
    return all;
}

probe_world::probe_world(const probe_rules& rules)
    : rules_(rules), far_side_(entry_count, false) {
    limits_.rate = rate;
    limits_.settle = rules.waits_to_settle ? duration(settle) : duration(0);
    for (std::size_t at = 0; at < entry_count; ++at) {
        entries_.emplace_back(limits_);
        learn({now_, at, 0, 1});
    }
}

std::string probe_world::run(const standin::schedule& steps) {
    for (const auto& of : steps) {
        (this->*handlers()[of.kind % handlers().size()])(of);
    }
    check_windows();
    return violated_;
}

std::size_t probe_world::owner_for(std::size_t entry) const {
    for (std::size_t at = 0; at < entry_count; ++at) {
        const auto candidate = (rank_ + at) % entry_count;
        if (far_side_[candidate] == far_side_[entry]) {
            return candidate;
        }
    }
    return entry;
}

double probe_world::share_of(std::size_t entry) const {
    const auto same_side =
        std::count(far_side_.begin(), far_side_.end(), far_side_[entry]);
    return static_cast<double>(same_side) / entry_count;
}

void probe_world::announce(const standin::step& of) {
    // Each instance hears at its own time, but within the bound.
    for (std::size_t at = 0; at < entry_count; ++at) {
        const auto spread = (of.a * 7 + of.b * 13 * (at + 1)) % 100;
        const auto after = duration(settle) * static_cast<int>(spread) / 100;
        const double share = rules_.uses_share ? share_of(at) : 1.0;
        pending_.push_back({now_ + after, at, owner_for(at), share});
    }
    quiet_until_ = now_ + settle;
}

void probe_world::move_owner(const standin::step& of) {
    if (now_ >= quiet_until_) {
        rank_ = of.c % entry_count;
        announce(of);
    }
}

void probe_world::part(const standin::step& of) {
    if (now_ < quiet_until_) {
        return;
    }
    for (std::size_t at = 0; at < entry_count; ++at) {
        far_side_[at] = (of.c >> at) % 2 == 1;
    }
    announce(of);
}

void probe_world::heal(const standin::step& of) {
    if (now_ >= quiet_until_) {
        far_side_.assign(entry_count, false);
        announce(of);
    }
}

void probe_world::restart(const standin::step& of) {
    if (now_ < quiet_until_) {
        return;
    }
    const auto at = of.a % entry_count;
    entries_[at] = probe_budget(limits_);
    learn({now_, at, owner_for(at), rules_.uses_share ? share_of(at) : 1.0});
}

void probe_world::learn(const pending_word& word) {
    auto& entry = entries_[word.entry];
    entry.on_share(word.share, now_);
    if (word.owner == word.entry) {
        entry.on_owned(backend, now_);
    } else {
        entry.on_lost(backend);
    }
}

void probe_world::pass_time(const standin::step& of) {
    advance(std::chrono::milliseconds(of.a * 5));
}

void probe_world::advance(duration by) {
    const auto end = now_ + by;
    while (now_ < end) {
        now_ += tick;
        for (const auto& word : pending_) {
            if (word.at <= now_) {
                learn(word);
            }
        }
        pending_.erase(
            std::remove_if(pending_.begin(), pending_.end(),
                           [&](const auto& word) { return word.at <= now_; }),
            pending_.end());
        probe_where_allowed();
    }
}

void probe_world::probe_where_allowed() {
    for (auto& entry : entries_) {
        if (entry.try_probe(backend, now_)) {
            sent_.push_back(now_);
        }
    }
}

void probe_world::check_windows() {
    for (std::size_t first = 0; first < sent_.size(); ++first) {
        for (std::size_t last = first; last < sent_.size(); ++last) {
            const auto window = sent_[last] - sent_[first];
            const double budget =
                rate * static_cast<double>(window.count()) / micros + saved_up;
            if (static_cast<double>(last - first + 1) > budget + 1e-6) {
                violated_ = "more probes than the budget in a window";
            }
        }
    }
}

} // namespace probe_model
