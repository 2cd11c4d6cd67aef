#include <waxwingvale/decision/probe_budget.hpp>

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {
namespace {

constexpr double micros_per_second = 1e6;

// Rounding must not let a probe go a microsecond early.
constexpr double whole_token = 1.0 + 1e-9;

} // namespace

probe_budget::probe_budget(const probe_limits& limits) : limits_(limits) {}

void probe_budget::on_owned(const std::string& backend_server, time_point now) {
    buckets_.emplace(backend_server, bucket{0, now + limits_.settle});
}

void probe_budget::on_lost(const std::string& backend_server) {
    buckets_.erase(backend_server);
}

double probe_budget::share_at(time_point now) const {
    double share = shares_.front().share;
    for (const auto& step : shares_) {
        share = step.from <= now ? step.share : share;
    }
    return share;
}

void probe_budget::on_share(double share, time_point now) {
    for (auto& [name, of] : buckets_) {
        of.tokens = paid_in(of, now);
        of.counted = std::max(of.counted, now);
    }
    // What counts now has no other before it that still matters.
    while (shares_.size() > 1 && shares_[1].from <= now) {
        shares_.erase(shares_.begin());
    }
    const double bounded = std::clamp(share, 0.0, 1.0);
    if (bounded <= shares_.front().share) {
        shares_ = {{now, bounded}};
        return;
    }
    // Shares that were to count and are not smaller began the wait for this
    // one too.
    auto from = now + limits_.settle;
    while (shares_.back().share >= bounded) {
        from = shares_.back().from;
        shares_.pop_back();
    }
    shares_.push_back({from, bounded});
}

double probe_budget::paid_in(const bucket& of, time_point now) const {
    double paid = 0;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
        const auto from =
            i == 0 ? of.counted : std::max(of.counted, shares_[i].from);
        const auto to =
            i + 1 < shares_.size() ? std::min(now, shares_[i + 1].from) : now;
        const auto span = std::max(to - from, duration::zero());
        paid += static_cast<double>(span.count()) / micros_per_second *
                limits_.rate * shares_[i].share;
    }
    return std::min(of.tokens + paid, whole_token);
}

bool probe_budget::try_probe(const std::string& backend_server,
                             time_point now) {
    const auto found = buckets_.find(backend_server);
    if (found == buckets_.end() || limits_.rate <= 0) {
        return false;
    }
    auto& of = found->second;
    of.tokens = paid_in(of, now);
    of.counted = std::max(of.counted, now);
    if (of.tokens < whole_token) {
        return false;
    }
    of.tokens = 0;
    return true;
}

time_point probe_budget::next_probe(const std::string& backend_server,
                                    time_point now) const {
    const auto found = buckets_.find(backend_server);
    if (found == buckets_.end() || limits_.rate <= 0 ||
        shares_.back().share <= 0) {
        return time_point::max();
    }
    const auto& of = found->second;
    const auto from = std::max(now, of.counted);
    const double missing = whole_token - paid_in(of, now);
    const double share = std::max(share_at(from), 1e-6);
    const double micros =
        std::max(0.0, missing) / (limits_.rate * share) * micros_per_second;
    return from + duration(static_cast<duration::rep>(std::ceil(micros)) + 1);
}

void probe_budget::change_rate(double rate, time_point now) {
    // Told again with every view; starting over each time would end probing.
    if (rate == limits_.rate) {
        return;
    }
    limits_.rate = rate;
    for (auto& [name, of] : buckets_) {
        of = bucket{0, std::max(of.counted, now)};
    }
}

} // namespace waxwingvale::decision
