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
    return now >= wider_from_ ? wider_share_ : share_;
}

void probe_budget::on_share(double share, time_point now) {
    for (auto& [name, of] : buckets_) {
        of.tokens = paid_in(of, now);
        of.counted = std::max(of.counted, now);
    }
    const double bounded = std::clamp(share, 0.0, 1.0);
    share_ = std::min(share_at(now), bounded);
    if (bounded <= share_) {
        wider_share_ = share_;
        wider_from_ = now;
    } else if (bounded != wider_share_) {
        wider_share_ = bounded;
        wider_from_ = now + limits_.settle;
    }
}

double probe_budget::paid_in(const bucket& of, time_point now) const {
    const auto rate_between = [&](time_point from, time_point to,
                                  double share) {
        const auto span = std::max(to - from, duration::zero());
        return static_cast<double>(span.count()) / micros_per_second *
               limits_.rate * share;
    };
    const auto turn =
        std::clamp(wider_from_, of.counted, std::max(now, of.counted));
    const double paid = rate_between(of.counted, std::min(turn, now), share_) +
                        rate_between(turn, now, wider_share_);
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
    if (found == buckets_.end() || limits_.rate <= 0 || wider_share_ <= 0) {
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
