#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <waxwingvale/model/configuration_file.hpp>
#include <waxwingvale/program/settings.hpp>

using namespace waxwingvale;

namespace {

std::string example(const std::string& name) {
    std::ifstream file(std::string(WAXWING_SOURCE "/examples/") + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

configuration example_configuration(const std::string& name) {
    for (const auto& problem : check_configuration(example(name), name)) {
        FAIL_CHECK(to_string(problem));
    }
    return parse_configuration(example(name), name, 1).value();
}

// The sizes that the users state for one of their services.
void check_size(const configuration& config, const std::string& name,
                std::size_t servers, unsigned slots, unsigned connections) {
    const auto* found = find_service(config, name);
    REQUIRE(found != nullptr);
    CHECK(found->backend_servers.size() == servers);
    for (const auto& server : found->backend_servers) {
        CHECK(server.slots == slots);
        CHECK(server.connections == connections);
    }
}

request_nature nature(const configuration& config, const std::string& name,
                      const std::string& method, const std::string& path) {
    const auto* found = find_class(*find_service(config, name), method, path);
    REQUIRE(found != nullptr);
    return found->nature;
}

constexpr auto once = request_nature::at_most_once;
constexpr auto again = request_nature::retriable;

} // namespace

TEST_CASE("the Cooperative's example has its sizes and natures") {
    const auto config = example_configuration("cooperative.json");
    CHECK(config.data_centres.size() == 4);
    check_size(config, "slate-view", 15, 6, 200);
    check_size(config, "assign-desk", 8, 6, 200);
    check_size(config, "packet-pull", 8, 6, 200);
    CHECK(nature(config, "slate-view", "GET", "/games") == again);
    CHECK(nature(config, "assign-desk", "POST", "/confirmations") == once);
    CHECK(nature(config, "packet-pull", "POST", "/claims/7") == once);
    CHECK(nature(config, "packet-pull", "DELETE", "/claims/7") == once);
}

TEST_CASE("Bramblewood's example has its sizes and natures") {
    const auto config = example_configuration("bramblewood.json");
    CHECK(config.data_centres.size() == 4);
    check_size(config, "gallery", 20, 2, 250);
    check_size(config, "checkout", 10, 2, 250);
    check_size(config, "delivery", 8, 2, 250);
    CHECK(nature(config, "gallery", "GET", "/scans") == again);
    CHECK(nature(config, "checkout", "POST", "/approvals") == once);
    CHECK(nature(config, "checkout", "POST", "/payments") == once);
    CHECK(nature(config, "delivery", "POST", "/reprints") == once);
}

TEST_CASE("the settings example is valid") {
    for (const auto& problem :
         program::check_settings(example("settings.json"), "settings.json")) {
        FAIL_CHECK(to_string(problem));
    }
}
