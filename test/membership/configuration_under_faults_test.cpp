#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "configuration_checker.hpp"
#include "fault_script.hpp"

using namespace waxwingvale;
using namespace std::chrono_literals;

namespace {

constexpr duration check_period = 100ms;

struct fault_run {
    std::optional<std::string> violation;
    duration longest_delay{};
    std::string faults;
};

fleet_shape shape_of(unsigned instances, std::uint64_t seed) {
    fleet_shape shape;
    shape.instances = instances;
    shape.data_centres = 3;
    shape.backend_servers = instances;
    shape.seed = seed;
    shape.seeds_read_first = true;
    shape.watch = 600ms;
    return shape;
}

fault_run play(const fleet_shape& shape, duration time,
               const std::vector<fleet_fault>& faults) {
    fleet_simulation fleet(shape);
    configuration_checker checker(fleet);
    fleet.start_all();
    constexpr duration slowest_publication[] = {100ms, 250ms, 500ms};
    fault_script script(fleet, 100ms, slowest_publication[shape.seed % 3]);
    const auto faults_begin = fleet.now() + 6s;
    const auto end = faults_begin + time;
    while (fleet.now() < end && !checker.violation()) {
        if (fleet.now() >= faults_begin) {
            script.choose_from(faults);
        }
        script.pass(check_period);
        checker.check();
    }
    return {checker.violation(), checker.longest_delay(), script.played()};
}

std::vector<fleet_fault> all_faults() {
    std::vector<fleet_fault> all;
    for (unsigned each = 0; each < fleet_fault_count; ++each) {
        all.push_back(static_cast<fleet_fault>(each));
    }
    return all;
}

} // namespace

TEST_CASE("frequent configuration changes take effect in time under all kinds "
          "of faults") {
    // Guards against instances that keep an old configuration, or return to
    // one, because something failed while the configuration changed often.
    const auto instances = GENERATE(5U, 17U);
    const auto seed = GENERATE(range(1U, 16U));
    const auto played = play(shape_of(instances, seed), 40s, all_faults());
    CAPTURE(instances, seed, played.faults, played.violation.value_or(""));
    CHECK_FALSE(played.violation);
}

// Prints the violations of each kind of fault. WAXWING_SEEDS sets the number of
// seeds, WAXWING_INSTANCES the size of the fleet, and WAXWING_FAULT limits the
// run to one kind of fault (its number; the number of kinds stands for all).
TEST_CASE("configurations under each kind of fault with many seeds",
          "[.many]") {
    const auto number_of = [](const char* name, unsigned otherwise) {
        const char* text = std::getenv(name);
        return text == nullptr ? otherwise
                               : static_cast<unsigned>(std::atoi(text));
    };
    const auto seeds = number_of("WAXWING_SEEDS", 20);
    const auto instances = number_of("WAXWING_INSTANCES", 17);
    for (unsigned kind = 0; kind <= fleet_fault_count; ++kind) {
        const bool all = kind == fleet_fault_count;
        if (number_of("WAXWING_FAULT", kind) != kind) {
            continue;
        }
        const auto faults =
            all ? all_faults()
                : std::vector<fleet_fault>{static_cast<fleet_fault>(kind)};
        unsigned violating = 0;
        duration longest{};
        std::string first;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto played = play(shape_of(instances, seed), 40s, faults);
            longest = std::max(longest, played.longest_delay);
            if (played.violation && violating++ == 0) {
                first = "seed " + std::to_string(seed) + ", " +
                        *played.violation + "; " + played.faults;
            }
        }
        std::cout << (all ? "all" : name_of(faults.front())) << ": "
                  << violating << " of " << seeds
                  << " seeds with violations, longest delay " << longest / 1ms
                  << " ms; first violation: " << first << std::endl;
    }
}
