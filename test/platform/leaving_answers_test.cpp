#include <catch2/catch.hpp>

#include "platform/two_zones.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

TEST_CASE(
    "a server that leaves by its answers gets nothing two seconds later") {
    // Guards against a server that gets requests until its end, since the
    // platform's store, which would tell that it leaves, is down.
    two_zones played;
    played.go_on(1s);
    played.store.set_silent(true);
    played.servers.at("north")->stated = {{"Server-Leaving", "1"}};
    played.go_on(2s);
    played.count_for(2s);
    CHECK(played.requests_in("north") == 0);
    CHECK(played.requests_in("south") > 0);
    CHECK(played.answers.size() == 1);
    CHECK(played.answers[200] > 0);
}
