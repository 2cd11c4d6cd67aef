#pragma once

#include <cstdint>
#include <tuple>

namespace waxwingvale::membership {

// Says which state of an item of the discovery platform it is: the one of its
// last change that was read.
//
// Revisions order the changes within an era of the platform. When it comes back
// from a copy, a new era begins: what was changed since the copy is lost, and
// its revisions are given out again. Whoever writes an item may count its own
// writes of it since its start, and writes it again after a loss with a higher
// count.
struct publication_stamp {
    std::uint64_t revision = 0; // of the platform, at the change
    std::uint64_t era = 0;      // of the platform, when this was read
    std::uint64_t writer = 0;   // the writer's incarnation; 0: not known
    std::uint64_t writes = 0;   // the writer's count; 0: not known

    publication_stamp() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): a platform without eras
    publication_stamp(std::uint64_t at_revision, std::uint64_t in_era = 0,
                      std::uint64_t by_writer = 0,
                      std::uint64_t writes_counted = 0)
        : revision(at_revision),
          era(in_era),
          writer(by_writer),
          writes(writes_counted) {}

    friend bool operator==(const publication_stamp& a,
                           const publication_stamp& b) {
        return std::tie(a.revision, a.era, a.writer, a.writes) ==
               std::tie(b.revision, b.era, b.writer, b.writes);
    }
    friend bool operator!=(const publication_stamp& a,
                           const publication_stamp& b) {
        return !(a == b);
    }
};

// A state of an item as far as its age is concerned.
struct publication_state {
    publication_stamp stamp;
    bool present = true; // false: removed
};

// The one rule by which a state of an item replaces another, whoever read them,
// in whatever order they arrive. Two different states of one item are never
// both newer than the other.
bool is_newer(const publication_state& candidate,
              const publication_state& known);

// Whether the later era shows an item as it was before changes that it has
// lost, as far as its writer's counts cannot tell: a state from the list of an
// era is then taken only if it lasts.
bool may_be_older_copy(const publication_state& listed,
                       const publication_state& known);

} // namespace waxwingvale::membership
