#pragma once

#include <cstddef>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::control {

// How soon after one view the next may be published. Every view makes the
// whole process work out owners and slots anew, in proportion to the members;
// and the more members there are, the more often one of them changes. When 128
// instances start together each would otherwise work through some hundred
// views: 0.22 s of a core for each in its first ten seconds, on machines that
// have a tenth of one.
class publication_pace {
public:
    // A view is published at `now`, with so many members.
    void published(time_point now, std::size_t members);
    // Zero: now. The first view of all, and one after a quiet while, is due at
    // once.
    duration due_in(time_point now) const;

private:
    time_point next_{};
};

} // namespace waxwingvale::control
