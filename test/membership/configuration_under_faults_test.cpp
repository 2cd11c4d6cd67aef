#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "configuration_checker.hpp"
#include "fault_script.hpp"

using namespace waxwingvale;
using namespace std::chrono_literals;

namespace {

constexpr duration look_every = 100ms;

struct played_faults {
    std::optional<std::string> violation;
    duration most_behind{};
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

played_faults play(const fleet_shape& shape, duration time,
                   const std::vector<fleet_fault>& faults) {
    fleet_simulation fleet(shape);
    configuration_checker checker(fleet);
    fleet.start_all();
    constexpr duration slowest[] = {100ms, 250ms, 500ms};
    fault_script script(fleet, 100ms, slowest[shape.seed % 3]);
    const auto begins = fleet.now() + 6s;
    const auto end = begins + time;
    while (fleet.now() < end && !checker.violation()) {
        if (fleet.now() >= begins) {
            script.choose_from(faults);
        }
        script.pass(look_every);
        checker.look();
    }
    return {checker.violation(), checker.most_behind(), script.played()};
}

std::vector<fleet_fault> all_faults() {
    std::vector<fleet_fault> all;
    for (unsigned each = 0; each < fleet_fault_count; ++each) {
        all.push_back(static_cast<fleet_fault>(each));
    }
    return all;
}

} // namespace

TEST_CASE("configurations that change often are in force soon whatever fails") {
    // Guards against instances that keep an old configuration, or take one
    // back, because something failed while the configuration changed often.
    const auto instances = GENERATE(5U, 17U);
    const auto seed = GENERATE(range(1U, 16U));
    const auto played = play(shape_of(instances, seed), 40s, all_faults());
    CAPTURE(instances, seed, played.faults, played.violation.value_or(""));
    CHECK_FALSE(played.violation);
}

// WAXWING_SEEDS says how many, WAXWING_INSTANCES how large a fleet.
TEST_CASE("configurations under each kind of fault by many seeds", "[.many]") {
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
        unsigned broken = 0;
        duration most{};
        std::string first;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto played = play(shape_of(instances, seed), 40s, faults);
            most = std::max(most, played.most_behind);
            if (played.violation && broken++ == 0) {
                first = "seed " + std::to_string(seed) + ", " +
                        *played.violation + "; " + played.faults;
            }
        }
        std::cout << (all ? "all" : name_of(faults.front())) << ": " << broken
                  << " of " << seeds << " broken, behind at most " << most / 1ms
                  << " ms; " << first << std::endl;
    }
}
