#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "platform/sample_configuration.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

const route& route_to(const configuration& config, const std::string& host,
                      const std::string& path) {
    const auto* found = config.routes->find(host, path);
    REQUIRE(found != nullptr);
    return *found;
}

result<configuration>
read_changed(const std::function<void(nlohmann::json&)>& change) {
    auto document = nlohmann::json::parse(sample_configuration);
    change(document);
    return read_operator_file({1, document.dump()}, sample_deployment());
}

} // namespace

TEST_CASE("a route's figures are read into fields that say what they hold") {
    const auto config = read_sample();
    CHECK(config.revision == 41);
    const auto& look = route_to(config, "a.example", "/look/7");
    CHECK(look.kind.name == "look");
    CHECK(look.kind.nature == request_nature::retriable);
    CHECK(look.kind.deadline == 800ms);
    CHECK(look.kind.target_latency == 250500us);
    CHECK(look.kind.max_attempts == 2);
    CHECK(look.kind.priority == 2);
    REQUIRE(look.targets.size() == 2);
    CHECK(look.targets[0].service == "view");
    CHECK(look.targets[0].weight == 90);
}

TEST_CASE("the longest prefix of a host's routes is taken") {
    const auto config = read_sample();
    CHECK(route_to(config, "a.example", "/look/book/1").kind.name == "book");
    CHECK(route_to(config, "A.Example", "/look/bookish").kind.name == "look");
    CHECK(config.routes->find("a.example", "/other/") == nullptr);
    CHECK(config.routes->find("c.example", "/look/") == nullptr);
}

TEST_CASE("downloads may run again, and kinds that are not known may not") {
    const auto config = read_sample();
    CHECK(route_to(config, "b.example", "/x").kind.nature ==
          request_nature::retriable);
    CHECK(route_to(config, "a.example", "/look/book/").kind.nature ==
          request_nature::at_most_once);
    const auto changed = read_changed(
        [](auto& file) { file["Routes"][0]["Kind"] = "something_new"; });
    CHECK(route_to(changed.value(), "a.example", "/look/").kind.nature ==
          request_nature::at_most_once);
}

TEST_CASE("limits of callers and services are read") {
    const auto config = read_sample();
    CHECK(config.limits->head == 16384);
    CHECK(config.limits->body == 1000);
    CHECK(config.limits->head_time == 3s);
    CHECK(config.limits->idle_time == 15s);
    const auto* desk = find_service(config, "desk");
    REQUIRE(desk != nullptr);
    CHECK(desk->health_path == "/ok");
    CHECK(desk->connections == 30);
    CHECK(desk->owners == 1);
}

// The operator's tool writes a file that lacks a field or has one of another
// type. The former configuration must stay in force, so reading fails whole.
TEST_CASE("a file with a bad route is refused whole and the field is named") {
    const auto no_host =
        read_changed([](auto& file) { file["Routes"][1].erase("Host"); });
    REQUIRE_FALSE(no_host.has_value());
    CHECK(no_host.error().detail.find("Host") != std::string::npos);
    CHECK_FALSE(read_changed([](auto& file) {
                    file["Routes"][1]["Timeout"] = "soon";
                }).has_value());
    CHECK_FALSE(read_operator_file({1, "{\"Routes\": ["}, sample_deployment())
                    .has_value());
}

// Guards against a turn of the loop as long as a file of the largest size.
TEST_CASE("a long file is read in portions, and as it is read at once") {
    constexpr std::size_t route_count = 2000;
    auto document = nlohmann::json::parse(sample_configuration);
    const auto first = document["Routes"][0];
    for (std::size_t i = 0; i < route_count; ++i) {
        auto route = first;
        route["Name"] = "r" + std::to_string(i);
        route["PathPrefix"] = "/p" + std::to_string(i) + "/";
        document["Routes"].push_back(route);
        document["Services"].push_back({{"Name", "s" + std::to_string(i)}});
    }
    document["Version"] = 7;
    const configuration_text file{7, document.dump()};
    const auto read = [&](const configuration_text& text, std::size_t& turns) {
        operator_file_reading reading(text, sample_deployment(), true);
        for (turns = 1; !reading.read_on(); ++turns) {
        }
        return reading.take();
    };
    std::size_t turns = 0;
    const auto config = read(file, turns);
    REQUIRE(config);
    CHECK(turns > 2 * route_count / 256);
    CHECK(config.value().routes->all().size() == document["Routes"].size());
    CHECK(config.value().services.size() == document["Services"].size());
    route_to(config.value(), "a.example", "/p1999/x");
    CHECK(config.value().services.back().name == "s1999");
    REQUIRE(config.value().limits);
    CHECK(config.value().limits->body == read_sample().limits->body);
    for (const auto* list : {"Routes", "Services"}) {
        auto bad = document;
        bad[list].back().erase("Name");
        const auto refused = read({7, bad.dump()}, turns);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == error_code::malformed);
        CHECK(refused.error().detail.find("Name") != std::string::npos);
    }
    CHECK_FALSE(read({8, file.text}, turns));
    CHECK_FALSE(read({7, file.text.substr(0, file.text.size() / 2)}, turns));
}

TEST_CASE("what a cold server bears is read with what goes beyond it") {
    auto deployment = sample_deployment();
    deployment.cold_overage = 1.5;
    deployment.cold_slack = 8;
    const auto read = [&](const nlohmann::json& rate) {
        auto document = nlohmann::json::parse(sample_configuration);
        document["Services"][0]["ColdPerS"] = rate;
        return read_operator_file({1, document.dump()}, deployment);
    };
    CHECK(read(4.1).value().services[0].cold_requests == 14U);
    CHECK(read(0).value().services[0].cold_requests == 0U);
    CHECK_FALSE(read_sample().services[0].cold_requests.has_value());
    for (const nlohmann::json& odd :
         {nlohmann::json(-1), nlohmann::json("4.1"), nlohmann::json(1e9)}) {
        CHECK(read(odd).error().code == error_code::malformed);
    }
}
