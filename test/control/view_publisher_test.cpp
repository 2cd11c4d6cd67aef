#include <catch2/catch.hpp>
#include <vector>

#include "control/view_publisher.hpp"
#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/program/view_published.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

membership::member_record self_record() {
    membership::member_record record;
    record.id = {"sea-1", 7};
    return record;
}

program::settings with_seeds() {
    program::settings settings;
    settings.peers.seeds.resize(1);
    return settings;
}

// An instance that has just started and has read its configuration.
struct started_instance {
    kernel::manual_clock clock;
    kernel::timer_service timers{clock};
    kernel::message_bus bus;
    control::knowledge known{
        self_record(), with_seeds(),
        [](const configuration_text& file) -> result<configuration> {
            configuration parsed;
            parsed.revision = file.revision;
            parsed.services.resize(1);
            parsed.services[0].name = "slate-view";
            return parsed;
        },
        clock.now()};
    control::view_publisher views{bus, timers, known};

    void read_platform() {
        known.configurations.offer({4, "text"});
        known.fresh.hear_platform(known.fresh.epoch());
        known.fresh.settle(false, clock.now());
    }
};

} // namespace

TEST_CASE("an instance that hears of no other soon serves, with care") {
    // All instances lost power, and those by whose addresses the others find
    // each other come back last. Callers would be refused for as long as that
    // takes, although the configuration and the servers are known.
    started_instance one;
    one.read_platform();
    CHECK_FALSE(one.views.publish(false));
    one.clock.advance(100ms);
    REQUIRE(one.views.publish(false));
    CHECK_FALSE(one.views.last_view()->introduced);
    CHECK(one.views.last_owners().at("slate-view").owners.empty());
    // A peer has told which others there are.
    one.clock.advance(50ms);
    REQUIRE(one.views.publish(true));
    CHECK(one.views.last_view()->introduced);
    CHECK(one.views.last_owners().at("slate-view").owners.size() == 1);
}

TEST_CASE("an instance that is alone takes all slots after a second") {
    started_instance one;
    one.read_platform();
    one.clock.advance(200ms);
    CHECK(one.views.publish(false));
    one.clock.advance(800ms);
    REQUIRE(one.views.publish(false));
    CHECK(one.views.last_view()->introduced);
}

TEST_CASE("without the platform's word an instance waits for a peer's") {
    // What it was told when it was last there may be old.
    started_instance one;
    one.clock.advance(500ms);
    CHECK_FALSE(one.views.publish(false));
    CHECK(one.views.publish(true));
}
