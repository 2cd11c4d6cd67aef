#include <catch2/catch.hpp>
#include <string>
#include <waxwingvale/program/settings.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::program;

namespace {

std::string small_settings() {
    return R"({
  // one file for an entry instance
  "settings_version": 2,
  "instance": {"name": "sea-1", "data_centre": "sea", "host": "127.0.0.1",
               "drain_timeout_ms": 500, "metrics_port": 0},
  "platform": {"host": "127.0.0.1", "port": 7000},
  "peers": {"shared_key": "0123456789abcdef",
            "seeds": [{"host": "127.0.0.1", "control_port": 7100}]},
  "entry": {"caller_port": 8080},
  "control": {"admin_token": "fedcba9876543210"}
})";
}

std::string complaint(const std::string& from, const std::string& to) {
    auto text = small_settings();
    text.replace(text.find(from), from.size(), to);
    const auto errors = check_settings(text, "sea-1.json");
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().peer == "sea-1.json");
    return errors.front().detail;
}

} // namespace

TEST_CASE("settings are read with defaults for what is left out") {
    const auto read = parse_settings(small_settings(), "sea-1.json");
    REQUIRE(read.has_value());
    CHECK(read.value().instance.name == "sea-1");
    CHECK(read.value().peers.seeds.at(0).control_port == 7100);
    CHECK(read.value().entry.caller_port == 8080);
    CHECK(read.value().instance.drain_timeout == 500ms);
    CHECK(read.value().instance.metrics_port == 0);
    CHECK(read.value().instance.capacity.cpu_permille == 1000);
    CHECK(read.value().platform.readers == 0);
    CHECK(read.value().platform.watch == 10s);
    CHECK(read.value().control.admin_host == "127.0.0.1");
}

TEST_CASE("settings that are wrong are named by file and field") {
    CHECK(complaint("8080", "80800") ==
          "entry.caller_port: expected a whole number from 0 to 65535, found "
          "80800");
    CHECK(complaint("7100", "0") ==
          "peers.seeds[0].control_port: expected a whole number from 1 to "
          "65535, found 0");
    CHECK(complaint("\"sea-1\"", "\"sea.1\"") ==
          "instance.name: expected a name of at most 63 lower-case letters, "
          "digits and '-', found \"sea.1\"");
    CHECK(complaint("\"control\": {", "\"control\": {\"port\": 1, ") ==
          "control.port: unknown field");
    CHECK(complaint("\"admin_token\": \"fedcba9876543210\"", "") ==
          "control.admin_token: expected either this or admin_token_file, "
          "found neither");
    CHECK(complaint("0123456789abcdef", "short") ==
          "peers.shared_key: expected at least 16 characters");
}

TEST_CASE("a file that cannot be read is named") {
    const auto read = load_settings("no/such/file.json");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().peer == "no/such/file.json");
    CHECK(read.error().code == error_code::not_found);
}
