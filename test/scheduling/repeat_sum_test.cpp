#include <catch2/catch.hpp>
#include <functional>

#include "scheduling/repeat_fleet.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

constexpr std::size_t instance_count = 6;
constexpr double requests_per_second = 20; // of each instance
constexpr duration until_all_is_held = 13s;

// Plays a fleet to which something happens again and again.
void check_sum(const std::function<void(repeat_fleet&, unsigned)>& happens,
               duration gap) {
    for (unsigned seed = 1; seed <= 4; ++seed) {
        repeat_fleet fleet(instance_count, seed);
        fleet.go_on(until_all_is_held, requests_per_second);
        for (unsigned each = 0; each < 15s / gap; ++each) {
            happens(fleet, seed + each);
            fleet.go_on(gap, requests_per_second);
        }
        INFO("seed " << seed << ", repeats " << fleet.repeats());
        CHECK(fleet.most_beyond() <= 0);
        CHECK(fleet.repeats() > 0);
    }
}

std::vector<int> halves(unsigned turn) {
    std::vector<int> sides;
    for (unsigned each = 0; each < instance_count; ++each) {
        sides.push_back(((each + turn) / 3) % 2 == 0 ? 0 : 1);
    }
    return sides;
}

} // namespace

TEST_CASE("owners that are killed in quick series keep the sum of repeats") {
    // Guards against a budget that begins anew with each owner.
    check_sum([](repeat_fleet& fleet,
                 unsigned turn) { fleet.kill(turn % instance_count); },
              250ms);
}

TEST_CASE("a fleet that is killed as a whole keeps the sum of repeats") {
    // Guards against processes each of which begins with a budget.
    check_sum(
        [](repeat_fleet& fleet, unsigned /*turn*/) {
            for (std::size_t each = 0; each < instance_count; ++each) {
                fleet.kill(each);
            }
        },
        1500ms);
}

TEST_CASE("both sides of a cut keep the sum of repeats") {
    // Guards against an owner on each side that allows all of the budget.
    check_sum(
        [](repeat_fleet& fleet, unsigned turn) { fleet.cut(halves(turn)); },
        700ms);
}

TEST_CASE("instances without any peer keep the sum of repeats") {
    // Guards against instances each of which takes itself for the fleet.
    check_sum(
        [](repeat_fleet& fleet, unsigned turn) {
            fleet.cut(turn % 2 == 0 ? std::vector<int>{0, 1, 2, 3, 4, 5}
                                    : std::vector<int>(instance_count, 0));
        },
        4s);
}

TEST_CASE("owners stopped and continued keep the sum of repeats") {
    // Guards against an owner that goes on where it was after another one has
    // taken over.
    check_sum(
        [](repeat_fleet& fleet, unsigned turn) {
            fleet.stop((turn + instance_count - 1) % instance_count, false);
            fleet.stop(turn % instance_count, true);
        },
        600ms);
}

TEST_CASE("where nothing was spent a killed owner costs no repeats") {
    // Guards against a budget that is kept by repeating nothing after a kill.
    for (std::size_t killed = 0; killed < instance_count; ++killed) {
        repeat_fleet fleet(instance_count, 1);
        fleet.go_on(until_all_is_held, 0);
        fleet.kill(killed);
        fleet.go_on(50ms, 0);
        fleet.go_on(500ms, 4 * requests_per_second);
        // A former owner's successor used to allow half of the extra ones.
        INFO("killed " << killed);
        CHECK(fleet.repeats() >= repeat_fleet::extra / 2);
        CHECK(fleet.most_beyond() <= 0);
    }
}
