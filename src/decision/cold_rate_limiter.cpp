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
