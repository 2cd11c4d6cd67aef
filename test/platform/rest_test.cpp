#include <catch2/catch.hpp>

#include "platform/two_zones.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

TEST_CASE("a server that turns instances away gets the rest that it asks for") {
    // Guards against a server in need that is asked again and again, and
    // against the detours that callers make for it.
    constexpr unsigned instances = 4;
    constexpr unsigned allowed_each = 2; // from half a second after on
    two_zones played;
    auto& north = *played.servers.at("north");
    played.go_on(1s);
    north.turns_away = true;
    played.go_on(500ms);
    played.count_for(2s);
    // An instance that is turned away for the first time could not know.
    CHECK(played.requests_in("north") <= (allowed_each + 1) * instances);
    CHECK(played.answers.size() == 1);
    CHECK(played.answers[200] > 0);
    north.turns_away = false;
    played.go_on(4s);
    played.count_for(1s);
    CHECK(played.requests_in("north") > 50);
}
