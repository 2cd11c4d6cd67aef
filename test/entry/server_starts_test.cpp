#include <catch2/catch.hpp>

#include "entry/server_starts.hpp"

using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

configuration with(backend_incarnation a, backend_incarnation b) {
    configuration made;
    made.services.resize(1);
    made.services[0].backend_servers.resize(2);
    made.services[0].backend_servers[0].name = "a";
    made.services[0].backend_servers[0].incarnation = a;
    made.services[0].backend_servers[1].name = "b";
    made.services[0].backend_servers[1].incarnation = b;
    return made;
}

} // namespace

TEST_CASE("a server that started again is named once") {
    // Kept connections to the former process look open. A booking sent on one
    // is lost, and its caller never learns whether it ran.
    server_starts starts;
    CHECK(starts.follow(with(100, 100)).empty());
    CHECK(starts.follow(with(100, 100)).empty());
    CHECK(starts.follow(with(200, 100)) == std::vector<std::string>{"a"});
    CHECK(starts.follow(with(200, 100)).empty());
}

TEST_CASE("a server whose start is not told, or told first, is not named") {
    server_starts starts;
    CHECK(starts.follow(with(0, 0)).empty());
    CHECK(starts.follow(with(0, 100)).empty());
    CHECK(starts.follow(configuration()).empty());
    CHECK(starts.follow(with(300, 300)).empty());
}
