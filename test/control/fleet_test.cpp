#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "standin/control_fleet.hpp"

using namespace waxwingvale;
using standin::control_fleet;
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
    CHECK(fleet.view_at(0)->config->services[0].backend_servers.size() == 4);
}
