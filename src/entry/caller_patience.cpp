#include "entry/caller_patience.hpp"

#include <algorithm>
#include <iterator>

namespace waxwingvale::entry {

namespace {

// A class whose callers now wait less long than they did is known for it after
// two of these.
constexpr duration window = std::chrono::seconds(30);

// Waits within a tenth of the longest are first calls: callers measure theirs
// in whole milliseconds, and some set out a little later than others.
constexpr int parts_of_a_first_call = 10;

// Routes that come and go all day would fill the memory; so many are kept
// however long nobody has called them.
constexpr std::size_t classes_kept = 500;

} // namespace

duration caller_patience::spent_before(const std::string& request_class,
                                       duration waits, time_point now) {
    if (now - looked_for_idle_ >= window) {
        forget_idle(now);
    }
    longest_wait& known = classes_[request_class];
    if (now - known.window_from >= window) {
        known.former = known.current;
        known.current = duration::zero();
        known.window_from = now;
    }
    known.current = std::max(known.current, waits);
    const duration longest = std::max(known.current, known.former);
    const duration less = longest - waits;
    return less > longest / parts_of_a_first_call ? less : duration::zero();
}

void caller_patience::forget_idle(time_point now) {
    looked_for_idle_ = now;
    if (classes_.size() <= classes_kept) {
        return;
    }
    for (auto it = classes_.begin(); it != classes_.end();) {
        const bool idle = now - it->second.window_from >= 2 * window;
        it = idle ? classes_.erase(it) : std::next(it);
    }
}

} // namespace waxwingvale::entry
