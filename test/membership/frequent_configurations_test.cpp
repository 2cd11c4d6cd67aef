#include <catch2/catch.hpp>

#include "fleet_simulation.hpp"

using namespace waxwingvale;
using namespace std::chrono_literals;

namespace {

// Whoever handles a request by an older configuration than was in force
// everywhere so long ago answers 404 for routes that callers may use.
constexpr duration in_force_within = 2s;
// So long after the platform is back it counts as never away.
constexpr duration back_within = 3s;

} // namespace

TEST_CASE("changes four times a second are soon in force on every instance") {
    // Guards against instances that learn no configuration while it changes
    // often, and answer 404 for routes that were added long ago.
    const auto instances = GENERATE(5U, 17U, 100U);
    const auto published_every = GENERATE(100ms, 250ms, 300ms);
    fleet_shape shape;
    shape.instances = instances;
    shape.data_centres = 3;
    shape.seeds_read_first = true;
    fleet_simulation fleet(shape);
    fleet.start_all();
    fleet.publish_configuration();
    fleet.run_for(10s);
    REQUIRE(fleet.oldest_configuration() == 1);

    const auto allowed_behind =
        static_cast<std::uint64_t>(in_force_within / published_every) + 1;
    std::uint64_t most_behind = 0;
    for (duration passed{}; passed < 10s; passed += published_every) {
        fleet.publish_configuration();
        fleet.run_for(published_every);
        most_behind = std::max(most_behind, fleet.published_configuration() -
                                                fleet.oldest_configuration());
    }
    CAPTURE(instances, published_every / 1ms);
    CHECK(most_behind <= allowed_behind);
}

TEST_CASE("large files that change often are soon in force on small machines") {
    // Guards against files that are asked for faster than links and processors
    // carry them: each would come later than the one before.
    const auto instances = GENERATE(5U, 30U, 100U);
    const auto published_every = GENERATE(100ms, 250ms);
    fleet_shape shape;
    shape.instances = instances;
    shape.data_centres = 3;
    shape.configuration_bytes = 44000;
    fleet_simulation fleet(shape);
    fleet.start_all();
    fleet.publish_configuration();
    fleet.run_for(10s);
    REQUIRE(fleet.oldest_configuration() == 1);

    duration most_behind{};
    for (duration passed{}; passed < 10s; passed += published_every) {
        fleet.publish_configuration();
        fleet.run_for(published_every);
        most_behind = std::max(most_behind, fleet.platform().age_of_next(
                                                fleet.oldest_configuration()));
    }
    CAPTURE(instances, published_every / 1ms, most_behind / 1ms);
    CHECK(most_behind <= in_force_within);
}

TEST_CASE("a platform that is back after a while is read soon") {
    // Guards against pauses after failures that last longer than a platform
    // that answers again is allowed to be unheard.
    const auto instances = GENERATE(1U, 2U, 3U, 5U, 17U);
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_shape shape;
        shape.instances = instances;
        shape.data_centres = 3;
        shape.backend_servers = instances;
        shape.seed = seed;
        fleet_simulation fleet(shape);
        fleet.start_all();
        fleet.publish_configuration();
        fleet.run_for(5s);
        REQUIRE(fleet.oldest_configuration() == 1);
        fleet.platform().refuse_the_others(seed % 2 == 0);
        fleet.let_platform_answer([](unsigned) { return false; });
        fleet.run_for(12s);
        fleet.publish_configuration();
        fleet.run_for(fleet.random_within(2s));
        fleet.let_platform_answer([](unsigned) { return true; });
        longest = std::max(
            longest,
            fleet.run_until([&] { return fleet.oldest_configuration() == 2; },
                            10s));
    }
    CAPTURE(instances, longest / 1ms);
    CHECK(longest <= back_within);
}
