#include "decision/cold_rate.hpp"

#include <algorithm>
#include <cstddef>

namespace waxwingvale::decision {

namespace {

// Requests that leave a second apart may arrive closer to each other, by what
// their ways differ: via another instance, on a new connection.
constexpr duration window = std::chrono::milliseconds(1200);

} // namespace

void cold_rate::set_most(std::optional<unsigned> most) {
    most_ = most;
    const std::size_t kept = most_.value_or(0);
    if (starts_.size() > kept) {
        starts_.erase(starts_.begin(),
                      starts_.end() - static_cast<std::ptrdiff_t>(kept));
    }
}

void cold_rate::set_listed_until(time_point until) {
    if (until != listed_until_) {
        listed_until_ = until;
        cold_until_ = until;
    }
}

std::optional<unsigned> cold_rate::room(time_point now) const {
    if (!most_ || !is_cold(now)) {
        return std::nullopt;
    }
    const auto recent =
        std::count_if(starts_.begin(), starts_.end(),
                      [now](time_point each) { return now - each < window; });
    return *most_ - std::min(*most_, static_cast<unsigned>(recent));
}

std::optional<time_point> cold_rate::next_room(time_point now) const {
    const auto left = room(now);
    if (!left || *left > 0) {
        return std::nullopt;
    }
    return starts_.empty() ? cold_until_
                           : std::min(starts_.front() + window, cold_until_);
}

void cold_rate::started(time_point now) {
    if (!most_ || *most_ == 0) {
        return;
    }
    if (starts_.size() >= *most_) {
        starts_.erase(starts_.begin());
    }
    starts_.push_back(now);
}

} // namespace waxwingvale::decision
