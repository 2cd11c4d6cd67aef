#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "standin/control_fleet.hpp"
#include "standin/http_request_once.hpp"

using namespace waxwingvale;
using standin::control_fleet;
using standin::control_fleet_options;
using standin::fleet_configuration;

namespace {

std::size_t alive_in(const view& seen) {
    return static_cast<std::size_t>(std::count_if(
        seen.members.begin(), seen.members.end(),
        [](const auto& each) { return each.state == member_state::alive; }));
}

} // namespace

TEST_CASE("instances that know two seeds find each other and a file") {
    control_fleet fleet({});
    fleet.start_all();
    fleet.publish("configuration", fleet_configuration(4, "one"));
    const bool agreed = fleet.run_until_all([](const view& seen) {
        return seen.fresh && alive_in(seen) == 3 &&
               seen.published.revision == 1;
    });
    for (unsigned each = 0; each < fleet.size(); ++each) {
        INFO(fleet.describe(each));
        CHECK(agreed);
    }
    REQUIRE(agreed);
    CHECK(fleet.view_at(0).config->services[0].backend_servers.size() == 4);
}

TEST_CASE("instances that the platform cannot reach get the file from peers") {
    // The platform's service is out of reach for all but one instance. Were
    // the others to wait for it, callers would meet two configurations.
    control_fleet_options options;
    options.instances = 5;
    options.reaches_platform = [](unsigned each) { return each == 0; };
    control_fleet fleet(options);
    fleet.start_all();
    fleet.publish("configuration", fleet_configuration(4, "one"));
    REQUIRE(fleet.run_until_all([](const view& seen) {
        return seen.published.revision == 1 && alive_in(seen) == 5;
    }));
    fleet.publish("configuration", "{ not a configuration", 2);
    fleet.publish("configuration", fleet_configuration(5, "three"), 3);
    const bool agreed = fleet.run_until_all(
        [](const view& seen) { return seen.published.revision == 3; });
    for (unsigned each = 0; each < fleet.size(); ++each) {
        INFO(fleet.describe(each));
        if (!agreed) {
            const auto metrics =
                standin::http_get(fleet.admin_port(each), "/metrics");
            UNSCOPED_INFO(standin::body_of(metrics));
            fleet.process(each).signal(SIGTERM);
            UNSCOPED_INFO(fleet.process(each).read_rest());
        }
        CHECK(agreed);
    }
}

TEST_CASE("a drain and a quarantine seen by one are told to all") {
    // One instance is refused by a backend server that is leaving, and another
    // sees a request crash two of them. The others must not find out by
    // sending work there themselves.
    control_fleet_options options;
    options.instances = 4;
    control_fleet fleet(options);
    fleet.start_all();
    REQUIRE(fleet.run_until_all(
        [](const view& seen) { return alive_in(seen) == 4; }));
    fleet.tell(3, {"slate-1", 7, backend_state::leaving, belief_source::traffic,
                   fleet.name_of(3), fleet.now()});
    fleet.tell(2,
               membership::death_record{99, "slate-2", 1, false, fleet.now()});
    fleet.tell(1,
               membership::death_record{99, "slate-3", 1, true, fleet.now()});
    REQUIRE(fleet.run_until_all([](const view& seen) {
        return seen.beliefs.size() == 1 &&
               seen.beliefs[0].state == backend_state::leaving &&
               seen.quarantined == std::vector<std::uint64_t>{99};
    }));
    CHECK(fleet.view_at(0).beliefs[0].observer == fleet.name_of(3));
}

TEST_CASE("all instances replaced one after another leave no gap") {
    // Every instance is killed and started anew, each as soon as the others
    // know the one before. Callers are steered to new lives throughout, and
    // the configuration survives although nobody keeps it anywhere and the
    // platform has become older meanwhile.
    control_fleet fleet({});
    fleet.start_all();
    fleet.publish("configuration", fleet_configuration(4, "old"));
    fleet.publish("configuration", fleet_configuration(5, "new"));
    const auto whole = [](const view& seen) {
        return alive_in(seen) == 3 && seen.published.revision == 2;
    };
    REQUIRE(fleet.run_until_all(whole));
    fleet.fault("mode=stale&ago=1");
    for (unsigned each = 0; each < fleet.size(); ++each) {
        const auto former = fleet.view_at(each).self.id;
        fleet.process(each).kill();
        fleet.start_again(each);
        REQUIRE(fleet.run_until_all([&](const view& seen) {
            return whole(seen) &&
                   std::none_of(
                       seen.members.begin(), seen.members.end(),
                       [&](const auto& one) { return one.id == former; });
        }));
    }
}

TEST_CASE("an instance that was stopped knows it before it goes on") {
    // The process is paused and wakes with the view it had. Bookings would go
    // to backend servers that left meanwhile; its parts must hear first that
    // the view is old, and then, when somebody was heard, that it is not.
    control_fleet fleet({});
    fleet.start_all();
    const auto settled = [](const view& seen) {
        return seen.fresh && alive_in(seen) == 3;
    };
    REQUIRE(fleet.run_until_all(settled));
    const auto before = fleet.late_wakeups(0);
    fleet.process(0).signal(SIGSTOP);
    // The pause itself; nothing is waited for.
    fleet.run_for(std::chrono::milliseconds(1500));
    fleet.process(0).signal(SIGCONT);
    REQUIRE(fleet.run_until([&] { return fleet.late_wakeups(0) > before; }));
    CHECK(fleet.run_until_all(settled));
}
