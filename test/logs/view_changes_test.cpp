#include <catch2/catch.hpp>

#include "control/view_changes.hpp"

using namespace waxwingvale;
using control::changes_between;

namespace {

view with_member(member_state state) {
    view known;
    member one;
    one.id = {"sea-2", 5};
    one.state = state;
    known.members = {one};
    return known;
}

configuration_ptr with_servers(const std::vector<std::string>& names) {
    configuration config;
    service desk;
    desk.name = "desk";
    for (const auto& name : names) {
        backend_server server;
        server.name = name;
        server.host = "127.0.0.1";
        server.port = 80;
        desk.backend_servers.push_back(server);
    }
    config.services = {desk};
    return std::make_shared<const configuration>(config);
}

} // namespace

TEST_CASE("a member that falls silent is named with its state") {
    const auto changes = changes_between(with_member(member_state::alive),
                                         with_member(member_state::suspect));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].name == "sea-2");
    CHECK(changes[0].now == "suspect");
    CHECK(changes[0].details == "incarnation=5");
    CHECK(changes_between(with_member(member_state::alive),
                          with_member(member_state::alive))
              .empty());
}

TEST_CASE("backend servers that come and go are named") {
    view before;
    before.config = with_servers({"a", "b"});
    view now;
    now.config = with_servers({"b", "c"});
    const auto changes = changes_between(before, now);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].name == "c");
    CHECK(changes[0].now == "usable");
    CHECK(changes[1].name == "a");
    CHECK(changes[1].now == "unlisted");
}

TEST_CASE("what is believed of a backend server names who saw it") {
    view before;
    view now;
    backend_belief belief;
    belief.backend_server = "a";
    belief.state = backend_state::dead;
    belief.source = belief_source::probe;
    belief.observer = "sea-1";
    now.beliefs = {belief};
    const auto changes = changes_between(before, now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].details.find("observer=sea-1") != std::string::npos);
}
