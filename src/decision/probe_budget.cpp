#include <waxwingvale/decision/probe_budget.hpp>

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {
namespace {

constexpr double micros_per_second = 1e6;

// Slightly more than 1, so that rounding errors cannot allow a probe a
// microsecond early.
constexpr double whole_token = 1.0 + 1e-9;

} // namespace

probe_budget::probe_budget(const probe_limits& limits) : limits_(limits) {}

void probe_budget::on_ownership_gained(const std::string& backend_server,
                                       time_point now) {
    buckets_.emplace(backend_server, bucket{0, now + limits_.settling_time});
}

void probe_budget::on_ownership_lost(const std::string& backend_server) {
    buckets_.erase(backend_server);
}

double probe_budget::share_at(time_point now) const {
    double share = shares_.front().share;
    for (const auto& step : shares_) {
        share = step.from <= now ? step.share : share;
    }
    return share;
}

void probe_budget::set_reachable_share(double share, time_point now) {
    for (auto& [name, entry] : buckets_) {
        entry.tokens = tokens_at(entry, now);
        entry.refilled_until = std::max(entry.refilled_until, now);
    }
    // The step that is now in effect makes all earlier steps irrelevant.
    while (shares_.size() > 1 && shares_[1].from <= now) {
        shares_.erase(shares_.begin());
    }
    const double bounded = std::clamp(share, 0.0, 1.0);
    if (bounded <= shares_.front().share) {
        shares_ = {{now, bounded}};
        return;
    }
    // A share that is at least as large and not yet in effect has already
    // started the waiting period for this share, too.
    auto from = now + limits_.settling_time;
    while (shares_.back().share >= bounded) {
        from = shares_.back().from;
        shares_.pop_back();
    }
    shares_.push_back({from, bounded});
}

double probe_budget::tokens_at(const bucket& state, time_point now) const {
    double refilled = 0;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
        const auto from = i == 0
                              ? state.refilled_until
                              : std::max(state.refilled_until, shares_[i].from);
        const auto to =
            i + 1 < shares_.size() ? std::min(now, shares_[i + 1].from) : now;
        const auto span = std::max(to - from, duration::zero());
        refilled += static_cast<double>(span.count()) / micros_per_second *
                    limits_.rate * shares_[i].share;
    }
    return std::min(state.tokens + refilled, whole_token);
}

bool probe_budget::try_probe(const std::string& backend_server,
                             time_point now) {
    const auto found = buckets_.find(backend_server);
    if (found == buckets_.end() || limits_.rate <= 0) {
        return false;
    }
    auto& entry = found->second;
    entry.tokens = tokens_at(entry, now);
    entry.refilled_until = std::max(entry.refilled_until, now);
    if (entry.tokens < whole_token) {
        return false;
    }
    entry.tokens = 0;
    return true;
}

time_point probe_budget::next_probe_time(const std::string& backend_server,
                                         time_point now) const {
    const auto found = buckets_.find(backend_server);
    if (found == buckets_.end() || limits_.rate <= 0 ||
        shares_.back().share <= 0) {
        return time_point::max();
    }
    const auto& entry = found->second;
    const auto from = std::max(now, entry.refilled_until);
    const double missing = whole_token - tokens_at(entry, now);
    const double share = std::max(share_at(from), 1e-6);
    const double micros =
        std::max(0.0, missing) / (limits_.rate * share) * micros_per_second;
    return from + duration(static_cast<duration::rep>(std::ceil(micros)) + 1);
}

void probe_budget::change_rate(double rate, time_point now) {
    // The rate is passed in again with every view. Discarding the tokens each
    // time would stop probing altogether.
    if (rate == limits_.rate) {
        return;
    }
    limits_.rate = rate;
    for (auto& [name, entry] : buckets_) {
        entry = bucket{0, std::max(entry.refilled_until, now)};
    }
}

} // namespace waxwingvale::decision
