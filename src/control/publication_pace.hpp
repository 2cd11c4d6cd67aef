#pragma once

#include <cstddef>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::control {

// How soon after one view the next may be published. Every view makes the
// whole process work out owners and slots anew, in proportion to the members;
// and the more members there are, the more often one of them changes. 128
// instances that start together publish some 20 views each in their first four
// seconds (counted in their logs), however their members trickle in.
class publication_pace {
public:
    // A view is published at `now`, with so many members.
    void published(time_point now, std::size_t members);
    // Zero: now. The first view of all, and one after a quiet while, is due at
    // once, and so is one that requests wait for.
    duration due_in(time_point now, bool awaited) const;

private:
    time_point next_{};
};

} // namespace waxwingvale::control
