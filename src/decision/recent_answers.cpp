#include <waxwingvale/decision/recent_answers.hpp>

#include <utility>

namespace waxwingvale::decision {

recent_answers::recent_answers(duration period, std::size_t limit)
    : period_(period), limit_(limit) {}

void recent_answers::rotate(time_point now) {
    const auto elapsed = now - current_since_;
    if (elapsed < period_) {
        return;
    }
    previous_ = std::exchange(current_, {});
    if (elapsed >= 2 * period_) {
        previous_.clear();
    }
    current_since_ = now;
}

void recent_answers::add(request_fingerprint fingerprint, time_point now) {
    rotate(now);
    if (current_.size() < limit_) {
        current_.insert(fingerprint.value);
    }
}

bool recent_answers::contains(request_fingerprint fingerprint, time_point now) {
    rotate(now);
    return current_.count(fingerprint.value) != 0 ||
           previous_.count(fingerprint.value) != 0;
}

} // namespace waxwingvale::decision
