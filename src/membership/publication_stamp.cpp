#include <waxwingvale/membership/publication_stamp.hpp>

namespace waxwingvale::membership {

namespace {

bool counted(const publication_state& a, const publication_state& b) {
    return a.stamp.writes != 0 && b.stamp.writes != 0;
}

auto count_of(const publication_state& of) {
    return std::tie(of.stamp.writer, of.stamp.writes);
}

// `later` was read in a later era, which may show what was before `earlier`.
bool replaces_across_eras(const publication_state& later,
                          const publication_state& earlier) {
    if (!later.present || !counted(later, earlier)) {
        return true;
    }
    // A removal is counted like the last write before it.
    return count_of(earlier) < count_of(later) ||
           (count_of(earlier) == count_of(later) && earlier.present);
}

} // namespace

bool is_newer(const publication_state& candidate,
              const publication_state& known) {
    if (candidate.stamp.era == known.stamp.era) {
        return candidate.stamp.revision > known.stamp.revision;
    }
    if (candidate.stamp.era > known.stamp.era) {
        return replaces_across_eras(candidate, known);
    }
    return !replaces_across_eras(known, candidate);
}

bool may_be_older_copy(const publication_state& listed,
                       const publication_state& known) {
    if (listed.stamp.era <= known.stamp.era || !listed.present) {
        return false;
    }
    if (!known.present) {
        // Its writer may have written on after the last state that was read.
        return listed.stamp.revision <= known.stamp.revision;
    }
    return !counted(listed, known) &&
           listed.stamp.revision < known.stamp.revision;
}

} // namespace waxwingvale::membership
