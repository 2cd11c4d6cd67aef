#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include <waxwingvale/decision/detour_choice.hpp>
#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/decision/steering.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

member instance(const std::string& name, const std::string& data_centre,
                bool is_partitioned) {
    member made;
    made.id = {name, 1};
    made.data_centre = data_centre;
    made.addresses.host = "10.0.0.1";
    made.addresses.caller_port = 80;
    made.addresses.detour_port = 81;
    made.partitioned = is_partitioned;
    return made;
}

std::map<std::string, unsigned> chosen(const std::vector<member>& members,
                                       detour_facts facts, unsigned times) {
    std::map<std::string, unsigned> count;
    for (unsigned number = 0; number < times; ++number) {
        facts.number = number;
        const auto by = choose_detour(members, facts);
        ++count[by ? by->id.name : ""];
    }
    return count;
}

detour_facts facts_of(const std::string& self, const std::string& at) {
    detour_facts facts;
    facts.self = self;
    facts.data_centre = at;
    return facts;
}

} // namespace

// Guards against requests that go round among partitioned instances.
TEST_CASE("only instances in touch serve for others") {
    auto leaving = instance("e3", "a", false);
    leaving.state = member_state::leaving;
    auto former = instance("e4", "a", false);
    former.addresses.detour_port = 0;
    std::vector<member> members = {instance("e0", "a", true),
                                   instance("e1", "a", true),
                                   instance("e2", "a", false), leaving, former};
    auto facts = facts_of("e0", "a");
    CHECK(chosen(members, facts, 20) ==
          std::map<std::string, unsigned>{{"e2", 20}});
    facts.avoided = {"e2"};
    CHECK_FALSE(choose_detour(members, facts).has_value());
}

// Guards against one instance that serves for a whole data centre.
TEST_CASE("each instance in touch serves a part that fits its capacity") {
    auto strong = instance("e1", "b", false);
    strong.capacity.cpu_permille = 2000;
    const std::vector<member> members = {instance("e0", "a", true), strong,
                                         instance("e2", "b", false),
                                         instance("e3", "c", false)};
    const auto count = chosen(members, facts_of("e0", "a"), 4000);
    CHECK(count.size() == 3);
    CHECK(count.at("e1") > 1700);
    CHECK(count.at("e2") > 700);
    CHECK(count.at("e3") > 700);
}

// Guards against load on an instance that is slow to answer.
TEST_CASE("an instance with many open requests gets fewer") {
    const std::vector<member> members = {instance("e0", "a", true),
                                         instance("e1", "a", false),
                                         instance("e2", "a", false)};
    auto facts = facts_of("e0", "a");
    facts.open = {{"e1", 50}, {"e2", 1}};
    const auto count = chosen(members, facts, 1000);
    CHECK(count.at("e1") < 350);
}

// Guards against bytes between data centres, and against too much for the few
// that are left in one.
TEST_CASE("a data centre serves for its own as long as enough are left") {
    const bool many_partitioned = GENERATE(true, false);
    const std::vector<member> members = {
        instance("e0", "a", true), instance("e1", "a", true),
        instance("e2", "a", many_partitioned), instance("e3", "a", false),
        instance("e4", "b", false)};
    const auto count = chosen(members, facts_of("e0", "a"), 200);
    CHECK((count.count("e4") != 0) == many_partitioned);
}

// Guards against an owner that finds all servers failing.
TEST_CASE("partitioned instances own no slots unless all are partitioned") {
    service of;
    of.name = "view";
    backend_server server;
    server.name = "s";
    server.slots = 4;
    of.backend_servers = {server};
    std::vector<member> members = {instance("e0", "a", true),
                                   instance("e1", "a", false),
                                   instance("e2", "b", true)};
    auto owners = compute_ownership(of, members);
    REQUIRE(owners.owners.size() == 1);
    CHECK(owners.owners.front().member.name == "e1");
    CHECK(owners.standbys.empty());
    members[1].partitioned = true;
    CHECK(compute_ownership(of, members).owners.size() == 2);
}

// Guards against callers that are sent to partitioned instances while others
// serve.
TEST_CASE("look-ups name partitioned instances last") {
    const std::vector<member> members = {
        instance("e0", "a", true), instance("e1", "a", false),
        instance("e2", "a", true), instance("e3", "a", false)};
    for (std::uint64_t hash = 0; hash < 20; ++hash) {
        steering_caller caller;
        caller.hash = hash;
        caller.data_centre = "a";
        const auto near = nearby_instances(members, {}, caller, {}, 64);
        REQUIRE(near.size() == 4);
        CHECK_FALSE(near[0].partitioned);
        CHECK_FALSE(near[1].partitioned);
        const auto steered = steer_caller({}, {}, members, caller);
        REQUIRE(steered.addresses.size() == 4);
        CHECK(steered.addresses[2].member.name != "e1");
        CHECK(steered.addresses[3].member.name != "e1");
        CHECK(steered.addresses[2].member.name != "e3");
        CHECK(steered.addresses[3].member.name != "e3");
    }
}
