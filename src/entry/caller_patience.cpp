#include "entry/caller_patience.hpp"

#include <algorithm>

namespace waxwingvale::entry {

namespace {

// A class whose callers now wait less long than they did is known for it after
// two of these.
constexpr duration window = std::chrono::seconds(30);

// Waits within a tenth of the longest are first calls: callers measure theirs
// in whole milliseconds, and some set out a little later than others.
constexpr int parts_of_a_first_call = 10;

} // namespace

duration caller_patience::spent_before(const std::string& request_class,
                                       duration waits, time_point now) {
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

} // namespace waxwingvale::entry
