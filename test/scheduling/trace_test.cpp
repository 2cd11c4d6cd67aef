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

TEST_CASE("a recorded trace replays to its stated outcome") {
    // Recorded by: waxwing-replay record two-at-once.trace.jsonl
    // --user=small --scenario=two-at-once --seconds=0.3. A change of the
    // decisions changes the outcome; it is then recorded anew, and the commit
    // says why.
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

TEST_CASE("a trace that is cut off is named with its line") {
    // A disk filled up while the trace was recorded. Replayed as if it were
    // whole, it would seem to agree.
    std::stringstream whole;
    record_trace(whole, small_workload("steady-50"), {});
    const std::string text = whole.str();
    std::stringstream cut(text.substr(0, text.size() / 2));
    const auto verdict = replay_trace(cut, {});
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
