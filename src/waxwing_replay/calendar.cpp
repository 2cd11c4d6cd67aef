#include "waxwing_replay/calendar.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwingvale::replay {

bool calendar::entry::operator<(const entry& other) const {
    // The queue gives its largest entry first.
    return std::tie(other.when, other.sequence) < std::tie(when, sequence);
}

void calendar::at(time_point when, task what) {
    entries_.push({std::max(when, now_), next_sequence_++, std::move(what)});
}

void calendar::run_until(time_point end) {
    while (!entries_.empty() && entries_.top().when <= end) {
        const entry due = entries_.top();
        entries_.pop();
        now_ = due.when;
        due.what();
    }
    now_ = std::max(now_, end);
}

} // namespace waxwingvale::replay
