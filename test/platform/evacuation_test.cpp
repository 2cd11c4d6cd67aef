#include <catch2/catch.hpp>

#include "platform/two_zones.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

// Word of an order is everywhere within this time.
constexpr duration followed_within = 500ms;

} // namespace

TEST_CASE("nothing is sent into an evacuated zone until it is taken back") {
    // Guards against requests into a zone that is being emptied, from instances
    // that read the store and from those that hear of it by peers.
    // Emptied in turn, so that each is seen to have served before.
    two_zones running;
    running.go_on(1500ms);
    std::string former = "north";
    for (const std::string zone : {"south", "north", "south"}) {
        running.store.remove("op/evacuate/" + former);
        running.store.put("op/evacuate/" + zone, "{}");
        running.go_on(followed_within);
        running.count_for(500ms);
        CHECK(running.requests_in(zone) == 0);
        CHECK(running.requests_in(former) > 100);
        former = zone;
    }
}

TEST_CASE("an instance that starts during an evacuation obeys it") {
    // Guards against requests into the zone from an instance that has servers
    // from a peer before it has heard of the order.
    two_zones running;
    running.store.put("op/evacuate/south", "{}");
    running.go_on(1500ms);
    running.count_for(100ms);
    running.restart(3);
    running.go_on(1500ms);
    CHECK(running.requests_in("south") == 0);
    CHECK(running.answers[200] > 0);
}

TEST_CASE("with all zones evacuated callers are told when to come back") {
    // Guards against callers that wait for servers that get nothing.
    two_zones running;
    running.go_on(1500ms);
    for (const auto& zone : running.zones) {
        running.store.put("op/evacuate/" + zone, "{}");
    }
    running.go_on(followed_within);
    running.count_for(500ms);
    CHECK(running.requests_in("north") == 0);
    CHECK(running.requests_in("south") == 0);
    CHECK(running.answers[200] == 0);
    CHECK(running.answers[503] > 100);
    CHECK(running.come_back_named == running.answers[503]);
    running.store.remove("op/evacuate/north");
    running.go_on(followed_within);
    running.count_for(500ms);
    CHECK(running.answers[200] > 100);
}

TEST_CASE("orders that come and go four times a second leave the last one") {
    // Guards against an older word that overtakes a newer one on its way
    // between instances.
    two_zones running;
    running.go_on(1500ms);
    for (unsigned turn = 0; turn < 10; ++turn) {
        running.store.put("op/evacuate/south", "{}");
        running.go_on(125ms);
        running.store.remove("op/evacuate/south");
        running.go_on(125ms);
    }
    running.store.put("op/evacuate/south", "{}");
    running.go_on(followed_within);
    running.count_for(500ms);
    CHECK(running.requests_in("south") == 0);
    CHECK(running.requests_in("north") > 0);
}
