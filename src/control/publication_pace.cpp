#include "control/publication_pace.hpp"

#include <algorithm>

namespace waxwingvale::control {

namespace {

// A dozen members hardly wait, and 128 have eight views a second. The longest
// wait is a tenth of the 2 s within which a drain is to be obeyed everywhere.
constexpr duration wait_per_member = std::chrono::milliseconds(1);
constexpr duration longest_wait = std::chrono::milliseconds(200);

} // namespace

void publication_pace::published(time_point now, std::size_t members) {
    const auto wait = static_cast<duration::rep>(members) * wait_per_member;
    next_ = now + std::min(wait, longest_wait);
}

duration publication_pace::due_in(time_point now, bool awaited) const {
    return awaited ? duration::zero() : std::max(next_ - now, duration::zero());
}

} // namespace waxwingvale::control
