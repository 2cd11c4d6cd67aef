#include <catch2/catch.hpp>
#include <string>

#include "standin/backend_relays.hpp"
#include "standin/fleet.hpp"

using namespace waxwingvale::standin;

TEST_CASE("a read whose connections were reset is served once they hold") {
    // Guards against a request that is refused everywhere for minutes, since
    // the connection of its trial was reset by a network, not by its server.
    fleet_options options;
    options.backend_servers = 4;
    fleet running(options);
    backend_relays network(running, options.backend_servers);
    running.start(network.configuration());
    const auto read = [&](std::size_t instance) {
        return status_of(http_request_once(running.read_call(instance)));
    };
    for (std::size_t round = 0; round < 4; ++round) {
        network.set("drop");
        for (std::size_t copies = 0; copies < 6; ++copies) {
            CHECK(read(copies % 2) != 422);
        }
        network.set("pass");
        for (std::size_t instance = 0; instance < 2; ++instance) {
            INFO("instance " << instance << " in round " << round);
            REQUIRE(wait_until([&] { return read(instance) == 200; }));
        }
    }
}
