#include <catch2/catch.hpp>
#include <string>
#include <waxwingvale/program/metrics.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale::program;

namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("calls are counted and timed by tenant, service and class") {
    metrics all;
    auto calls = all.add_call_counter("waxwing_calls_total", "Calls.");
    auto took = all.add_call_histogram("waxwing_call_seconds", "Time.");
    calls.add({"leagues", "slate-view", "read"});
    took.observe({"leagues", "slate-view", "read"}, 3ms);
    const auto text = all.text();
    CHECK(contains(text, "waxwing_calls_total{class=\"read\",service="
                         "\"slate-view\",tenant=\"leagues\"} 1"));
    CHECK(contains(text, "le=\"0.005\"} 1"));
}

TEST_CASE("labels that callers choose cannot fill the memory") {
    // A caller sends a new tenant name with every request. Without a bound
    // each makes a metric that stays, until the process is out of memory.
    metrics all;
    auto calls = all.add_call_counter("waxwing_calls_total", "Calls.");
    constexpr int many = 3 * static_cast<int>(label_set_limit);
    for (int i = 0; i < many; ++i) {
        calls.add({"tenant-" + std::to_string(i), "slate-view", "read"});
    }
    CHECK(contains(all.text(), "tenant=\"other\"} " +
                                   std::to_string(many - label_set_limit)));
}
