#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "standin/fleet.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

std::uint64_t turned_away(backend_process& by) {
    return by.runs().at("refused").value("resting", std::uint64_t{0});
}

} // namespace

TEST_CASE("a backend server that asks for rest costs callers nothing") {
    // Guards against a server that is asked again and again while it turns all
    // away, and against one that is not used any more when it is well.
    constexpr unsigned instances = 4;
    // Of each instance in each rest of two seconds: the request that was turned
    // away, those under way at that moment, and two in half a second.
    constexpr unsigned rests = 4;
    constexpr unsigned in_each_rest = 4;
    fleet_options options;
    options.entry_instances = instances;
    options.backend_servers = 3;
    options.backend_options = {"--service-ms=20"};
    fleet running(options);
    running.start();
    auto load = running.start_load(
        {"--calls=2100", "--rate=150", "--write-fraction=0.5"});
    auto& tired = running.backend(0);
    const auto begun = [&] {
        return tired.runs().at("begun").get<std::uint64_t>();
    };
    REQUIRE(wait_until([&] { return begun() >= 20; }));
    tired.fault("rest=2");
    REQUIRE(wait_until([&] { return turned_away(tired) >= 1; }));
    // What is sent in the six seconds that follow.
    auto& other = running.backend(1);
    const auto others = [&] {
        return other.runs().at("begun").get<std::uint64_t>();
    };
    const auto before = others();
    REQUIRE(wait_until([&] { return others() >= before + 400; }));
    CHECK(turned_away(tired) <= instances * rests * in_each_rest);
    tired.fault("rest=none");
    const auto well = begun();
    CHECK(wait_until([&] { return begun() >= well + 20; }));
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 2100);
}
