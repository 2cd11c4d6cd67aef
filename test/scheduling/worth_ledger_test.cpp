#include <catch2/catch.hpp>

#include "waxwing_replay/worth_ledger.hpp"

using namespace waxwingvale;
using namespace waxwingvale::replay;

namespace {

time_point second(int at) {
    return time_point(std::chrono::seconds(at));
}

} // namespace

TEST_CASE("worth is reported in total, by class and by the worst windows") {
    worth_ledger ledger;
    for (int at = 0; at < 8; ++at) {
        ledger.owed(0, second(at), 1);
        ledger.owed(1, second(at), 2);
    }
    for (int at = 0; at < 8; ++at) {
        ledger.earned(0, second(at), 1);
    }
    ledger.earned(1, second(0), 2);
    ledger.earned(1, second(1), 2);
    ledger.earned(1, second(2), 1);
    CHECK(ledger.share() == Approx(13. / 24));
    CHECK(ledger.of_class(0) == Approx(1));
    CHECK(ledger.worst_class() == Approx(5. / 16));
    // The windows of two seconds each earned 6, 3, 2 and 2 of 6; the result is
    // the mean of the two worst.
    CHECK(ledger.worst_windows() == Approx(1. / 3));
}

TEST_CASE("a ledger without entries reports the full share") {
    const worth_ledger ledger;
    CHECK(ledger.share() == 1);
    CHECK(ledger.worst_windows() == 1);
    CHECK(ledger.worst_class() == 1);
}
