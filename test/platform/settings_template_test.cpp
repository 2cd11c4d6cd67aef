#include <catch2/catch.hpp>

#include <algorithm>

#include <waxwingvale/program/settings.hpp>

#include "platform/settings_template.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;
using nlohmann::ordered_json;

namespace {

// What the platform tells of one machine, of which the template uses a part.
ordered_json machine_fields() {
    return ordered_json::parse(R"({
      "NodeName": "edge-north-1", "Role": "node", "Ip": "10.1.0.18",
      "Zone": "north", "InternalPortRange": [7200, 7215],
      "Seeds": ["10.1.0.18:8382", "10.2.0.34:8382"],
      "Zones": {"north": "r", "south": "r"},
      "ListenAddrs": {"Front": "10.1.0.18:8381", "Ready": "10.1.0.18:8388",
        "Control": "10.1.0.18:8382", "Directory": "10.1.0.18:8383"},
      "Limits": {"CpuShare": 0.2, "CpuCores": 1, "MemoryMb": 260,
        "LinkMbps": 1000.0},
      "Bounds": {"GracePeriod": 6, "RetryBudgetRatio": 0.2,
        "BudgetWindow": 10, "RetryBudgetExtra": 56, "ttl_max": 5},
      "Platform": {"Address": "10.200.1.7:8384", "ReadsPerS": 2000}
    })");
}

std::string settings_template() {
    const auto text = program::read_file(
        std::string(WAXWING_SOURCE) + "/deploy/settings.json", 65536);
    return text.value();
}

} // namespace

TEST_CASE("the settings template makes settings that are accepted") {
    const auto text = render_template(settings_template(), machine_fields());
    CHECK(program::check_settings(text, "local.toml").empty());
    const auto read = program::parse_settings(text, "local.toml").value();
    CHECK(read.instance.name == "edge-north-1");
    CHECK(read.instance.capacity.cpu_permille == 200);
    CHECK(read.instance.drain_timeout == 6s);
    CHECK(read.instance.metrics_port == 7200);
    CHECK(read.instance.ready_port == 8388);
    CHECK(read.entry.caller_port == 8381);
    CHECK(read.control.control_port == 8382);
    CHECK(read.steer.keep == 5s);
    CHECK(read.peers.seeds.size() == 2);
    CHECK(read.deployment.data_centres.size() == 2);
    CHECK(read.platform.reads_per_second == 2000);
}

TEST_CASE("a machine without seeds gets settings that are accepted") {
    // All machines that the platform names as seeds are being replaced. The
    // process must start all the same, or nobody is there for the next ones.
    auto fields = machine_fields();
    fields["Seeds"] = ordered_json::array();
    const auto text = render_template(settings_template(), fields);
    CHECK(program::check_settings(text, "local.toml").empty());
}

TEST_CASE("what the platform leaves out is named before anything starts") {
    // A deployment is described without a value that the template needs. A
    // process that starts on half of its settings fails much later, and nobody
    // sees why.
    auto fields = machine_fields();
    fields["ListenAddrs"].erase("Front");
    const auto text = render_template(settings_template(), fields);
    const auto problems = program::check_settings(text, "local.toml");
    REQUIRE_FALSE(problems.empty());
    CHECK(std::all_of(problems.begin(), problems.end(), [](const error& each) {
        return each.peer.find("local.toml") != std::string::npos;
    }));
}

TEST_CASE("a deployment with cold servers tells what they bear") {
    auto fields = machine_fields();
    fields["Bounds"]["ColdOverage"] = 1.5;
    fields["Bounds"]["ColdSlack"] = 8;
    const auto text = render_template(settings_template(), fields);
    const auto read = program::parse_settings(text, "local.toml");
    REQUIRE(read.has_value());
    CHECK(read.value().deployment.cold_overage == 1.5);
    CHECK(read.value().deployment.cold_slack == 8);
}

// Guards against instances that do not start, since a figure of the deployment
// that is a share of another one is no whole number.
TEST_CASE("a budget of repeats that is no whole number is rounded down") {
    auto fields = machine_fields();
    fields["Bounds"]["RetryBudgetExtra"] = 22.093;
    const auto text = render_template(settings_template(), fields);
    const auto read = program::parse_settings(text, "local.toml");
    REQUIRE(read.has_value());
    CHECK(read.value().deployment.budgets.repeat_extra == 22);
}
