#include <catch2/catch.hpp>

#include "fleet_simulation.hpp"

using namespace waxwingvale;
using namespace std::chrono_literals;

namespace {

// A published configuration must be in force on all instances within this time.
// An instance with an older one answers 404 for routes that callers may use.
constexpr duration max_configuration_delay = 2s;
// After an outage of the platform, its newest configuration must be in force on
// all instances within this time.
constexpr duration max_recovery_time = 3s;

} // namespace

TEST_CASE("frequent configuration changes reach every instance in about 2 s") {
    // Guards against instances that receive no configuration while it changes
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
        static_cast<std::uint64_t>(max_configuration_delay / published_every) +
        1;
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

TEST_CASE("large configurations that change often are in force on small "
          "machines within 2 s") {
    // Guards against files being requested faster than links and processors can
    // transfer them, which makes each file arrive later than the one before.
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
    CHECK(most_behind <= max_configuration_delay);
}

TEST_CASE("a platform that answers again after an outage is read within 3 s") {
    // Guards against retry pauses after failed reads that are longer than the
    // time within which an available platform must be read again.
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
    CHECK(longest <= max_recovery_time);
}
