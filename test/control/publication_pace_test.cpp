#include <catch2/catch.hpp>

#include "control/publication_pace.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using control::publication_pace;

namespace {

constexpr time_point start = time_point() + 10s;

// Views that a process publishes while each of the members tells of itself,
// one every `gap`.
unsigned views_while_joining(std::size_t members, duration gap) {
    publication_pace pace;
    unsigned views = 0;
    time_point now = start;
    for (std::size_t known = 1; known <= members; ++known, now += gap) {
        if (pace.due_in(now, false) == duration::zero()) {
            pace.published(now, known);
            ++views;
        }
    }
    return views;
}

} // namespace

// All machines of a large deployment get power at the same moment, and each
// instance hears of the others one after another. Worked out anew for each, the
// view would take a weak machine seconds, and callers would find nobody.
TEST_CASE("many members that join together make few views") {
    CHECK(views_while_joining(128, 2ms) <= 16);
    CHECK(views_while_joining(1000, 1ms) <= 16);
    CHECK(views_while_joining(5, 10ms) == 5);
}

TEST_CASE("news after a quiet while waits for nothing") {
    publication_pace pace;
    CHECK(pace.due_in(start, false) == duration::zero());
    pace.published(start, 128);
    CHECK(pace.due_in(start, false) == 128ms);
    CHECK(pace.due_in(start + 100ms, false) == 28ms);
    CHECK(pace.due_in(start + 1s, false) == duration::zero());
    pace.published(start, 1000);
    CHECK(pace.due_in(start, false) == 200ms);
}

TEST_CASE("a view that requests wait for is published at once") {
    // Guards against requests that are refused while proof of their route is
    // there: they wait for less time than the pace of views in a large fleet.
    publication_pace pace;
    pace.published(start, 146);
    CHECK(pace.due_in(start + 10ms, false) > 100ms);
    CHECK(pace.due_in(start + 10ms, true) == 0ms);
}
