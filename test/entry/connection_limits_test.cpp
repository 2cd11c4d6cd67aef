#include <catch2/catch.hpp>

#include "entry/connection_limits.hpp"

using namespace waxwingvale;
using entry::connection_limits_of;

namespace {

view with(std::size_t members, unsigned connections, unsigned slots) {
    backend_server server;
    server.connections = connections;
    server.slots = slots;
    service desk;
    desk.backend_servers = {server};
    configuration config;
    config.services = {desk};
    view now;
    now.config = std::make_shared<const configuration>(config);
    now.members.resize(members);
    return now;
}

} // namespace

// Over a hundred instances share the limit of a server's connections, and its
// one owner sends it requests, probes and second copies at once. Were it given
// a hundredth of the limit it could not use the slots, and callers would be
// refused while servers stand idle.
TEST_CASE("an owner among many instances can use all slots of a server") {
    const auto limits = connection_limits_of(with(128, 1080, 6));
    CHECK(limits.open >= 2 * 6);
    CHECK(limits.idle == 8);
}

// A server resets what comes beyond its limit, and a booking among it ends as
// unknown.
TEST_CASE("idle connections of all instances leave room for those in use") {
    for (const std::size_t members : {1U, 7U, 12U, 128U, 1000U}) {
        const auto limits = connection_limits_of(with(members, 220, 6));
        CHECK(limits.idle * members + 2 * 6 <= 220);
        CHECK(limits.open <= 220);
    }
}

TEST_CASE("before a configuration is known the limits are those of the pool") {
    CHECK(connection_limits_of(view()) == entry::connection_limits());
}
