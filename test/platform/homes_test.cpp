#include <catch2/catch.hpp>

#include "platform/directory_answers.hpp"
#include "platform/sample_configuration.hpp"
#include "platform/two_zones.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

member instance(const std::string& data_centre, std::uint16_t port) {
    member one;
    one.id.name = data_centre;
    one.data_centre = data_centre;
    one.addresses.host = "127.0.0.1";
    one.addresses.caller_port = port;
    return one;
}

// A directory of three regions with an instance in each of these, of a host
// whose routes have those homes.
directory_answers directory_of(const std::vector<std::string>& instances_in,
                               const std::vector<std::string>& homes) {
    program::settings settings;
    settings.deployment.data_centres = {
        {"north", "r1"}, {"south", "r2"}, {"east", "r3"}};
    settings.steer.keep = 2s;
    auto document = nlohmann::json::parse(sample_configuration);
    document["Routes"][0]["AllowedRegions"] = homes;
    auto seen = std::make_shared<view>();
    seen->config = std::make_shared<const configuration>(
        read_operator_file({1, document.dump()}, settings.deployment).value());
    std::uint16_t port = 81;
    for (const auto& each : instances_in) {
        seen->members.push_back(instance(each, port++));
    }
    directory_answers directory(settings);
    directory.take(program::with_owners(seen));
    return directory;
}

// The addresses named to a caller in that zone, or the status.
std::string named(const directory_answers& directory, const std::string& zone) {
    const auto answer = directory.answer(
        {"GET", "/-/resolve?Name=a.example&Zone=" + zone, {}, "", "127.0.0.1"},
        {});
    return answer.status == 200
               ? nlohmann::json::parse(answer.body).at("Addresses").dump()
               : std::to_string(answer.status);
}

} // namespace

TEST_CASE("requests with homes run in these regions, whoever takes them") {
    // Guards against requests that leave the regions where they may run, sent
    // by an instance elsewhere or on a slot that another owner lends.
    two_zones running({"region-south"});
    running.go_on(1500ms);
    running.count_for(500ms);
    CHECK(running.requests_in("north") == 0);
    CHECK(running.requests_in("south") > 100);

    // No server is left there: refused at once, and not sent abroad.
    running.store.put("op/evacuate/south", "{}");
    running.go_on(500ms);
    running.count_for(500ms);
    CHECK(running.requests_in("north") == 0);
    CHECK(running.answers[200] == 0);
    CHECK(running.answers[503] > 100);
}

TEST_CASE("callers are sent to their own region, or to a home") {
    // Guards against bodies that reach a region that is neither.
    const auto all = directory_of({"north", "south", "east"}, {"r2"});
    CHECK(named(all, "north") == R"(["127.0.0.1:81"])");
    CHECK(named(all, "elsewhere") == R"(["127.0.0.1:82"])");
    const auto without_north = directory_of({"south", "east"}, {"r2"});
    CHECK(named(without_north, "north") == R"(["127.0.0.1:81"])");
    CHECK(named(directory_of({"east"}, {"r2"}), "north") == "503");
    CHECK(named(directory_of({"east"}, {}), "north") == R"(["127.0.0.1:81"])");
}

TEST_CASE("the homes of a host are those that all its routes have") {
    const auto route_at = [](const std::string& prefix,
                             std::vector<std::string> homes) {
        route made;
        made.host = "a.example";
        made.kind.path_prefix = prefix;
        made.kind.homes = std::move(homes);
        made.targets = {{"view", 1}};
        return made;
    };
    using regions = std::vector<std::string>;
    const route_table routes({route_at("/x/", {"r1", "r2"}),
                              route_at("/y/", {"r2", "r3"}),
                              route_at("/z/", {})});
    CHECK(routes.homes_of_host("A.example:80") == regions{"r2"});
    CHECK(routes.homes_of_host("b.example").empty());
    const route_table apart({route_at("/x/", {"r1"}), route_at("/y/", {"r3"})});
    CHECK(apart.homes_of_host("a.example") == regions{"r1", "r3"});
}

TEST_CASE("homes that are no list of names spoil the file, not the process") {
    auto document = nlohmann::json::parse(sample_configuration);
    document["Routes"][0]["AllowedRegions"] = 7;
    CHECK(read_operator_file({1, document.dump()}, sample_deployment())
              .error()
              .code == error_code::malformed);
}
