#include <waxwingvale/membership/late_wakeup_history.hpp>

namespace waxwingvale::membership {

void late_wakeup_history::record(time_point now) {
    const bool already_late = runs_late(now);
    recent_.push_back(now);
    if (recent_.size() > timing_.wakeups) {
        recent_.pop_front();
    }
    const bool often = recent_.size() == timing_.wakeups &&
                       now - recent_.front() <= timing_.window;
    if (often || already_late) {
        late_until_ = now + timing_.calm_after;
    }
}

bool late_wakeup_history::runs_late(time_point now) const {
    return now < late_until_;
}

} // namespace waxwingvale::membership
