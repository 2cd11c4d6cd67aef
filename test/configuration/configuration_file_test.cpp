#include <catch2/catch.hpp>
#include <string>
#include <waxwingvale/model/configuration_file.hpp>

#include "small_file.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// The detail of the only error that a changed file gives.
std::string complaint(const std::string& from, const std::string& to) {
    const auto errors =
        check_configuration(replaced(small_file(), from, to), "live.json");
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().peer == "live.json");
    CHECK(errors.front().step == "check configuration");
    return errors.front().detail;
}

} // namespace

TEST_CASE("a valid file becomes the value it describes") {
    const auto parsed = parse_configuration(small_file(), "live.json", 7);
    REQUIRE(parsed.has_value());
    const auto& config = parsed.value();
    CHECK(config.revision == 7);
    CHECK(config.key_lifetime == 60s);
    CHECK(config.address_keep_max == 2s);
    CHECK(config.tenants == std::vector<tenant>{{"leagues", 3}, {"desks", 1}});
    const auto* desk = find_service(config, "assign-desk");
    REQUIRE(desk != nullptr);
    CHECK(desk->owners == 2);
    CHECK(desk->typical_time == 15ms);
    CHECK(desk->budgets == service_budgets{0.2, 0., 0.5});
    CHECK(find_class(*desk, "GET", "/x")->nature == request_nature::retriable);
    CHECK(find_class(*desk, "POST", "/x")->deadline == 10s);
    CHECK(desk->backend_servers.at(0) ==
          backend_server{"desk-1", "127.0.0.1", 9001, "sea", 6, 200});
}

TEST_CASE("a field that is wrong is named with what was expected") {
    CHECK(complaint("\"slots\": 6, ", "\"slots\": 0, ") ==
          "services[0].backend_servers[0].slots: expected a whole number from "
          "1 to 1024, found 0");
    CHECK(complaint("\"share\"", "\"shares\"") ==
          "tenants[0].shares: unknown field");
    CHECK(complaint("\"port\": 9002,", "") ==
          "services[0].backend_servers[1].port: expected a whole number, but "
          "missing");
    CHECK(complaint("\"pdx\", \"slots\"", "\"boi\", \"slots\"") ==
          "services[0].backend_servers[1].data_centre: expected a data centre "
          "of this file, found \"boi\"");
    CHECK(complaint("[\"leagues\"]", "[\"league\"]") ==
          "services[0].tenants[0]: expected a tenant of this file, found "
          "\"league\"");
    CHECK(complaint("\"127.0.0.1\"", "\"localhost\"") ==
          "services[0].backend_servers[0].host: expected an IP number such as "
          "127.0.0.1, found \"localhost\"");
    CHECK(complaint("desk-2", "desk-1") ==
          "services[0].backend_servers[1].name: expected a name of its own, "
          "but services[0].backend_servers[0].name is desk-1 too");
    CHECK(complaint("9002", "9001") ==
          "services[0].backend_servers[1].port: expected a name of its own, "
          "but services[0].backend_servers[0].port is 127.0.0.1:9001 too");
    CHECK(complaint("at_most_once", "once") ==
          "services[0].classes[1].nature: expected at_most_once or retriable, "
          "found \"once\"");
    CHECK(complaint("\"POST\"", "\"post\"") ==
          "services[0].classes[1].methods[0]: expected an HTTP method in "
          "capitals, found \"post\"");
    CHECK(complaint("\"retries\": 0.2", "\"retries\": 1.5") ==
          "services[0].budgets.retries: expected a number from 0.0 to 1.0, "
          "found 1.5");
    CHECK(complaint("\"schema_version\": 1", "\"schema_version\": 2") ==
          "schema_version: expected a whole number from 1 to 1, found 2");
    CHECK(complaint("2000}", "500}") ==
          "addresses.keep_max_ms: expected at least keep_min_ms, 1000");
}

TEST_CASE("a class that no request can reach is refused") {
    // Two classes stand in the wrong order, so that a booking would be treated
    // as a read and run twice. Nobody would see it before it happens.
    CHECK(complaint("[\"GET\", \"HEAD\"]", "[\"GET\", \"POST\"]") ==
          "services[0].classes[1].path_prefix: expected some request that is "
          "left to this class, but class look before it takes all");
}

TEST_CASE("a key must outlive the requests it stands for") {
    // A key forgotten while its first request may still run cannot stop the
    // resend: the official is booked twice.
    CHECK(complaint("60000", "5000") ==
          "request_keys.lifetime_ms: expected at least the longest deadline of "
          "an at_most_once class, 10000");
}

TEST_CASE("a field given twice is refused") {
    // An operator copies a line and changes the copy. A JSON reader keeps the
    // last of the two without a word.
    CHECK(complaint("\"desk-2\",", "\"desk-2\", \"slots\": 2,") ==
          "services[0].backend_servers[1].slots: expected once in this object, "
          "found more than once");
}

TEST_CASE("what is not JSON is named by its line") {
    const auto errors = check_configuration("{\n  \"a\": 1,\n}", "live.json");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].code == error_code::malformed);
    CHECK(errors[0].detail.find("line 3") != std::string::npos);
    const std::string huge(configuration_size_limit + 1, ' ');
    CHECK(check_configuration(huge, "live.json").size() == 1);
}

TEST_CASE("all problems of a file are told at once") {
    auto text = replaced(small_file(), "\"slots\": 6, ", "\"slots\": 0, ");
    text = replaced(text, "northwest", "North West");
    CHECK(check_configuration(text, "live.json").size() == 2);
    CHECK(parse_configuration(text, "live.json", 1)
              .error()
              .detail.find("data_centres[0].region") == 0);
}

TEST_CASE("a written configuration parses to an equal value") {
    const auto first = parse_configuration(small_file(), "a", 3).value();
    CHECK(parse_configuration(write_configuration(first), "b", 3).value() ==
          first);
}

TEST_CASE("a deeply nested file is refused before it takes memory") {
    // A file of nothing but brackets, well under the size limit, is published.
    // The path of each level is as long as the levels above it, so that
    // memory would grow with the square of the depth until every
    // an instance is killed.
    const std::string open(100, '[');
    const std::string close(100, ']');
    const auto errors = check_configuration(open + close, "live.json");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].detail == "expected at most 16 levels of nesting");
}
