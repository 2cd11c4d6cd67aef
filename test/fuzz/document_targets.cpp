#include "document_targets.hpp"

#include <fstream>
#include <iterator>
#include <waxwingvale/model/configuration_file.hpp>
#include <waxwingvale/program/settings.hpp>

#include "fuzz_target.hpp"

using namespace waxwingvale;

namespace {

constexpr const char* file_name = "fuzzed.json";

std::string example(const std::string& name) {
    std::ifstream file(std::string(WAXWING_SOURCE "/examples/") + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

void must_name_the_file(const std::vector<error>& errors) {
    for (const auto& problem : errors) {
        must_hold(problem.peer == file_name, "an error names the file");
        must_hold(!problem.detail.empty(), "an error tells what is expected");
    }
}

// What every accepted configuration promises to those who use it.
void must_be_sound(const configuration& config) {
    for (const auto& each : config.services) {
        must_hold(!each.name.empty(), "a service has a name");
        must_hold(!each.classes.empty(), "a service has classes");
        must_hold(!each.backend_servers.empty(), "and backend servers");
        for (const auto& kind : each.classes) {
            must_hold(kind.deadline > duration::zero(), "a deadline lasts");
            must_hold(kind.path_prefix.front() == '/', "a prefix is a path");
        }
        for (const auto& server : each.backend_servers) {
            must_hold(server.slots > 0 && server.port > 0, "a server serves");
        }
    }
}

} // namespace

void run_configuration(const std::string& input) {
    const auto errors = check_configuration(input, file_name);
    must_name_the_file(errors);
    const auto parsed = parse_configuration(input, file_name, 5);
    must_hold(parsed.has_value() == errors.empty(),
              "a file is accepted exactly when nothing is wrong with it");
    if (!parsed) {
        must_hold(parsed.error() == errors.front(), "the error is the first");
        return;
    }
    must_be_sound(parsed.value());
    const auto written = write_configuration(parsed.value());
    const auto again = parse_configuration(written, file_name, 5);
    must_hold(again && again.value() == parsed.value(),
              "an accepted file written out parses to an equal value");
}

std::vector<std::string> configuration_seeds() {
    return {R"({
  "schema_version": 1, // with a comment
  "data_centres": [{"name": "sea", "region": "nw"}],
  "tenants": [{"name": "leagues", "share": 3}],
  "request_keys": {"lifetime_ms": 60000, "limit": 1000},
  "addresses": {"keep_min_ms": 1000, "keep_max_ms": 2000},
  "services": [{
    "name": "desk", "tenants": ["leagues"], "owners": 2, "typical_time_ms": 15,
    "budgets": {"retries": 0.2, "hedges": 0, "probes_per_second": 0.5},
    "classes": [
      {"name": "look", "methods": ["GET"], "path_prefix": "/",
       "nature": "retriable", "deadline_ms": 800, "queue_limit": 50},
      {"name": "confirm", "methods": ["POST"], "nature": "at_most_once"}],
    "backend_servers": [
      {"name": "desk-1", "host": "127.0.0.1", "port": 9001,
       "data_centre": "sea", "slots": 6, "connections": 200}]
  }]
})",
            example("bramblewood.json")};
}

void run_settings(const std::string& input) {
    const auto errors = program::check_settings(input, file_name);
    must_name_the_file(errors);
    const auto parsed = program::parse_settings(input, file_name);
    must_hold(parsed.has_value() == errors.empty(),
              "settings are accepted exactly when nothing is wrong with them");
    if (parsed) {
        const auto& read = parsed.value();
        must_hold(!read.instance.name.empty(), "an instance has a name");
        must_hold(read.peers.shared_key.empty() !=
                      read.peers.shared_key_file.empty(),
                  "the shared key is given in one way");
    }
}

std::vector<std::string> settings_seeds() {
    return {example("settings.json")};
}
