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
            parsed.data_centres = {{"sea", "west"}, {"boi", "west"}};
            parsed.data_centres[1].evacuated = file.text == "boi evacuated";
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
    CHECK_FALSE(one.views.last_view()->members_known);
    CHECK(one.views.last_owners().at("slate-view").owners.empty());
    // A peer has told which others there are.
    one.clock.advance(50ms);
    REQUIRE(one.views.publish(true));
    CHECK(one.views.last_view()->members_known);
    CHECK(one.views.last_owners().at("slate-view").owners.size() == 1);
}

TEST_CASE("an instance that is alone takes all slots after a second") {
    started_instance one;
    one.read_platform();
    one.clock.advance(200ms);
    CHECK(one.views.publish(false));
    one.clock.advance(800ms);
    REQUIRE(one.views.publish(false));
    CHECK(one.views.last_view()->members_known);
}

TEST_CASE("without the platform's word an instance waits for a peer's") {
    // What it was told when it was last there may be old.
    started_instance one;
    one.clock.advance(500ms);
    CHECK_FALSE(one.views.publish(false));
    CHECK(one.views.publish(true));
}

TEST_CASE("each view has the newest configuration with its servers") {
    // Guards against requests that are decided by old routes, or find no
    // server, while configurations and servers change in turn.
    started_instance one;
    one.read_platform();
    one.clock.advance(100ms);
    REQUIRE(one.views.publish(true));
    membership::registry_record server{"slate-1", 5, true, {}};
    server.entry.service = "slate-view";
    for (std::uint64_t round = 5; round < 25; ++round) {
        one.known.configurations.offer({round, "text"});
        server.stamp = 100 + round;
        server.entry.leaving = round % 2 == 0;
        one.known.registry.merge(server, one.clock.now());
        REQUIRE(one.views.publish(true));
        const auto& config = *one.views.last_view()->config;
        CHECK(config.revision == round);
        const std::size_t usable = server.entry.leaving ? 0 : 1;
        CHECK(config.services[0].backend_servers.size() == usable);
    }
}

TEST_CASE("news does not put off an instance's first view") {
    // Guards against callers that are refused for as long as members and
    // configurations keep coming.
    started_instance one;
    std::uint64_t revision = 5;
    while (!one.views.last_view() && one.clock.now() < time_point(5s)) {
        one.clock.advance(10ms);
        one.known.configurations.offer({revision++, "text"});
        one.known.members.accuse("nobody", one.clock.now());
        one.views.publish(false);
    }
    CHECK(one.clock.now() == time_point(1s));
    CHECK(one.views.last_view()->config->revision == revision - 1);
}

namespace {

// With a server in each of two data centres.
struct instance_of_two_data_centres : started_instance {
    instance_of_two_data_centres() {
        read_platform();
        for (const auto* data_centre : {"sea", "boi"}) {
            membership::registry_record server;
            server.name = std::string("slate-") + data_centre;
            server.stamp = 5;
            server.entry.service = "slate-view";
            server.entry.data_centre = data_centre;
            known.registry.merge(server, clock.now());
        }
        clock.advance(100ms);
        views.publish(true);
    }

    void order(const std::string& data_centre, std::uint64_t revision,
               bool present = true) {
        auto record = membership::make_evacuation_record(data_centre, revision);
        record.present = present;
        known.registry.merge(record, clock.now());
        views.publish(true);
    }

    std::vector<std::string> usable() const {
        std::vector<std::string> names;
        const auto& config = *views.last_view()->config;
        for (const auto& each : config.services[0].backend_servers) {
            names.push_back(each.name);
        }
        return names;
    }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("servers of an evacuated data centre are left out until its end") {
    // Guards against requests into a data centre that is being emptied.
    instance_of_two_data_centres one;
    CHECK(one.usable() == names{"slate-boi", "slate-sea"});
    one.order("boi", 7);
    CHECK(one.usable() == names{"slate-sea"});
    const auto& seen = *one.views.last_view();
    REQUIRE(seen.evacuations.size() == 1);
    CHECK(seen.evacuated_servers ==
          std::vector<evacuated_server>{{"slate-view", "slate-boi", "boi"}});
    one.order("sea", 8);
    CHECK(one.usable().empty());
    one.order("boi", 9, false);
    CHECK(one.usable() == names{"slate-boi"});
    one.order("sea", 10, false);
    CHECK(one.usable() == names{"slate-boi", "slate-sea"});
    CHECK(one.views.last_view()->evacuated_servers.empty());
}

TEST_CASE("an order for a data centre that nobody knows changes no server") {
    instance_of_two_data_centres one;
    one.order("nowhere", 7);
    CHECK(one.usable() == names{"slate-boi", "slate-sea"});
    CHECK(one.views.last_view()->evacuations.size() == 1);
}

TEST_CASE("a server that registers in an evacuated data centre stays out") {
    // Guards against requests to servers that start there after the order.
    instance_of_two_data_centres one;
    one.order("boi", 7);
    membership::registry_record late;
    late.name = "slate-late";
    late.stamp = 9;
    late.entry.service = "slate-view";
    late.entry.data_centre = "boi";
    one.known.registry.merge(late, one.clock.now());
    one.views.publish(true);
    CHECK(one.usable() == names{"slate-sea"});
}

TEST_CASE("the configuration file orders an evacuation as well") {
    instance_of_two_data_centres one;
    one.known.configurations.offer({6, "boi evacuated"});
    one.views.publish(true);
    CHECK(one.usable() == names{"slate-sea"});
    REQUIRE(one.views.last_view()->evacuations.size() == 1);
    CHECK(one.views.last_view()->evacuations[0].revision == 6);
    const auto since = one.views.last_view()->evacuations[0].since;
    one.clock.advance(1s);
    one.order("nowhere", 9);
    for (const auto& order : one.views.last_view()->evacuations) {
        CHECK((order.data_centre != "boi" || order.since == since));
    }
    one.known.configurations.offer({7, "text"});
    one.views.publish(true);
    CHECK(one.usable() == names{"slate-boi", "slate-sea"});
}

TEST_CASE("a server is cold for as long as its entry said when it came") {
    // Guards against views that begin the time anew: a server would stay cold
    // for as long as anything else changes.
    instance_of_two_data_centres one;
    membership::registry_record cold;
    cold.name = "slate-sea";
    cold.stamp = 9;
    cold.entry.service = "slate-view";
    cold.entry.data_centre = "sea";
    cold.entry.cold_for = 2s;
    const auto told = one.clock.now();
    one.known.registry.merge(cold, told);
    one.views.publish(true);
    for (std::uint64_t revision = 10; revision < 13; ++revision) {
        one.clock.advance(500ms);
        one.order("nowhere", revision);
        const auto& servers =
            one.views.last_view()->config->services[0].backend_servers;
        REQUIRE(servers.size() == 2);
        CHECK(servers[1].cold_until == told + 2s);
        CHECK(servers[0].cold_until == time_point());
    }
}
