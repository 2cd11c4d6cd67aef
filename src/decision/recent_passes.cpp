#include <waxwingvale/decision/recent_passes.hpp>

#include <utility>

namespace waxwingvale::decision {

recent_passes::recent_passes(duration period, std::size_t limit)
    : period_(period), limit_(limit) {}

void recent_passes::turn_over(time_point now) {
    const auto passed = now - began_;
    if (passed < period_) {
        return;
    }
    former_ = std::exchange(present_, {});
    if (passed >= 2 * period_) {
        former_.clear();
    }
    began_ = now;
}

void recent_passes::add(request_fingerprint fingerprint, time_point now) {
    turn_over(now);
    if (present_.size() < limit_) {
        present_.insert(fingerprint.value);
    }
}

bool recent_passes::contains(request_fingerprint fingerprint, time_point now) {
    turn_over(now);
    return present_.count(fingerprint.value) != 0 ||
           former_.count(fingerprint.value) != 0;
}

} // namespace waxwingvale::decision
