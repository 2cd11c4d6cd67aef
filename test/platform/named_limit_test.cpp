#include <catch2/catch.hpp>

#include "platform/two_zones.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr duration settled_within = 3s; // after a limit is named
constexpr duration window = 4s;

// What a server may get in a window: half more than its limit allows, and five.
unsigned allowed(double requests_per_second) {
    const double seconds = std::chrono::duration<double>(window).count();
    return static_cast<unsigned>(1.5 * requests_per_second * seconds) + 5;
}

void name_limit(two_zones& in, const std::string& zone,
                const std::string& limit) {
    in.servers.at(zone)->stated = {{"Server-Limit", limit}};
}

} // namespace

TEST_CASE("a limit that a backend server names holds for all instances") {
    // Guards against a server in need that gets as many requests as before.
    two_zones played;
    played.go_on(1s);
    name_limit(played, "north", "5");
    played.go_on(settled_within);
    played.count_for(window);
    CHECK(played.requests_in("north") <= allowed(5));
    CHECK(played.requests_in("north") >= 5);
    CHECK(played.answers.size() == 1);
    CHECK(played.answers[200] > 0);
}
