#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "waxwing_replay/trace.hpp"

using namespace waxwingvale;
using namespace waxwingvale::replay;

namespace {

workload small_workload(const std::string& scenario) {
    return make_workload(scenario, size_of("small"), 1, duration(300000));
}

} // namespace

TEST_CASE("a recorded trace replays to its recorded outcome") {
    // Recorded by: waxwing-replay record two-at-once.trace.jsonl
    // --user=small --scenario=two-at-once --seconds=0.3. If a change of the
    // scheduler's decisions changes the outcome, record the trace again and
    // give the reason in the commit message.
    std::ifstream file(WAXWING_TEST_DATA "/two-at-once.trace.jsonl");
    REQUIRE(file);
    const auto verdict = replay_trace(file, {});
    REQUIRE(verdict.has_value());
    CHECK(to_string(verdict.value().replayed) ==
          to_string(verdict.value().stated));
}

TEST_CASE("every scenario replays exactly") {
    for (const std::string& scenario : scenario_names()) {
        std::stringstream trace;
        const trace_outcome recorded =
            record_trace(trace, small_workload(scenario), {});
        const auto verdict = replay_trace(trace, {});
        REQUIRE(verdict.has_value());
        CHECK(verdict.value().stated == recorded);
        CHECK(verdict.value().replayed == recorded);
        CHECK(recorded.starts > 0);
    }
}

TEST_CASE("a truncated trace is an error that names the line") {
    // The disk filled up while the trace was recorded. If the trace were
    // replayed as a complete one, the outcome would seem to agree.
    std::stringstream complete;
    record_trace(complete, small_workload("steady-50"), {});
    const std::string text = complete.str();
    std::stringstream truncated(text.substr(0, text.size() / 2));
    const auto verdict = replay_trace(truncated, {});
    REQUIRE(!verdict.has_value());
    CHECK(verdict.error().code == error_code::malformed);
    CHECK(verdict.error().peer.find("line ") == 0);
}

TEST_CASE("an unknown event in a trace is an error that names it") {
    std::stringstream trace;
    trace << R"({"service":"s","instances":[{"name":"a","incarnation":1}]})"
          << "\n"
          << R"({"event":"earthquake","instance":0,"at":1})"
          << "\n";
    const auto verdict = replay_trace(trace, {});
    REQUIRE(!verdict.has_value());
    CHECK(verdict.error().detail.find("earthquake") != std::string::npos);
    CHECK(verdict.error().peer == "line 2");
}
