#include "decision/cold_rate_limiter.hpp"

#include <algorithm>
#include <cstddef>

namespace waxwingvale::decision {

namespace {

// Longer than one second, because requests that are sent a second apart may
// arrive closer together when their paths differ (via another instance, or over
// a new connection).
constexpr duration rate_window = std::chrono::milliseconds(1200);

} // namespace

void cold_rate_limiter::set_limit(std::optional<unsigned> limit) {
    limit_ = limit;
    const std::size_t kept = limit_.value_or(0);
    if (starts_.size() > kept) {
        starts_.erase(starts_.begin(),
                      starts_.end() - static_cast<std::ptrdiff_t>(kept));
    }
}

void cold_rate_limiter::set_owner(bool owner, bool first_view, time_point now) {
    if (owner && !owner_.value_or(false)) {
        const bool has_predecessors = owner_.has_value() || first_view;
        owned_since_ = has_predecessors ? now : time_point();
    }
    owner_ = owner;
}

held_window cold_rate_limiter::past() const {
    return {owned_since_, rate_window};
}

void cold_rate_limiter::set_registered_cold_until(time_point until) {
    if (until != registered_cold_until_) {
        registered_cold_until_ = until;
        cold_until_ = until;
    }
}

std::optional<unsigned> cold_rate_limiter::available(time_point now) const {
    if (!limit_ || !is_cold(now)) {
        return std::nullopt;
    }
    if (!past().is_known(now)) {
        return 0;
    }
    const auto recent =
        std::count_if(starts_.begin(), starts_.end(), [now](time_point each) {
            return now - each < rate_window;
        });
    return *limit_ - std::min(*limit_, static_cast<unsigned>(recent));
}

std::optional<time_point>
cold_rate_limiter::next_available(time_point now) const {
    const auto left = available(now);
    if (!left || *left > 0) {
        return std::nullopt;
    }
    if (!past().is_known(now)) {
        return std::min(past().known_from(), cold_until_);
    }
    return starts_.empty()
               ? cold_until_
               : std::min(starts_.front() + rate_window, cold_until_);
}

void cold_rate_limiter::record_start(time_point now) {
    if (!limit_ || *limit_ == 0) {
        return;
    }
    if (starts_.size() >= *limit_) {
        starts_.erase(starts_.begin());
    }
    starts_.push_back(now);
}

} // namespace waxwingvale::decision
