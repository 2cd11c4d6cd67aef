#include <catch2/catch.hpp>

#include <set>
#include <string>

#include <waxwingvale/decision/history_checker.hpp>
#include <waxwingvale/io/history_file.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

io::history_file data_file(const std::string& name) {
    const auto file = io::read_history_file(std::string(WAXWING_TEST_DATA) +
                                            '/' + name + ".jsonl");
    REQUIRE(file.has_value());
    return file.value();
}

std::string report(const std::vector<history_violation>& violations) {
    std::string text;
    for (const auto& violation : violations) {
        text += std::string(to_string(violation.rule)) + ' ' +
                violation.subject + ": " + violation.detail + '\n';
    }
    return text;
}

} // namespace

TEST_CASE("A history without violations passes") {
    const auto file = data_file("good");
    const auto found = check_history(file.events, {});
    INFO(report(found));
    REQUIRE(found.empty());
    REQUIRE(file.skipped.at("end") == 1);
}

// Guards against a checker that misses violations. Each of these histories
// violates one rule, some of them in two ways, and no other rule.
TEST_CASE("Each rule detects the history that violates it") {
    const auto rule = GENERATE(range(0, 10));
    const auto violated = static_cast<history_rule>(rule);
    const auto found = check_history(data_file(to_string(violated)).events, {});
    INFO(to_string(violated));
    INFO(report(found));
    REQUIRE_FALSE(found.empty());
    for (const auto& violation : found) {
        REQUIRE(violation.rule == violated);
    }
    const std::set<history_rule> in_two_ways{
        history_rule::answered, history_rule::truly_not_run,
        history_rule::no_new_work, history_rule::backend_not_cut};
    REQUIRE(found.size() == (in_two_ways.count(violated) == 0 ? 1U : 2U));
}

TEST_CASE("The order of the events does not matter") {
    auto events = data_file("good").events;
    std::reverse(events.begin(), events.end());
    REQUIRE(check_history(events, {}).empty());
}

TEST_CASE("Rules apply the bounds that are passed in") {
    history_bounds strict;
    strict.newest_everywhere = std::chrono::milliseconds(100);
    const auto found = check_history(data_file("good").events, strict);
    REQUIRE_FALSE(found.empty());
    REQUIRE(found[0].rule == history_rule::newest_everywhere);
    REQUIRE(found[0].subject == "pdx-1");
}

// Guards against an unchecked run: a simulated process may write a line that
// the reader does not understand. If the reader skipped it silently, violations
// in that line would go unnoticed.
TEST_CASE("The error for a malformed line names the line and the field") {
    const auto problem = [](const std::string& line) {
        const auto file = io::parse_history("\n" + line + "\n", "run.jsonl");
        REQUIRE(file.has_error());
        REQUIRE(file.error().peer == "run.jsonl:2");
        return file.error().detail;
    };
    REQUIRE(problem("{") == "the line is not a JSON object");
    REQUIRE(problem("{}") == "event is missing");
    REQUIRE(problem(R"({"event":"probe","backend_server":"b"})") ==
            "at_us is missing");
    REQUIRE(problem(R"({"event":"probe","at_us":1,"backend_server":7})") ==
            "backend_server has the wrong type");
    REQUIRE(problem(R"({"event":"answer","at_us":1,"request":"r","status":200,
                        "outcome":"maybe"})")
                .find("not a JSON object") != std::string::npos);
    REQUIRE(problem(R"({"event":"answer","at_us":1,"request":"r","status":200,)"
                    R"("outcome":"maybe"})") ==
            "outcome is none of ran, not-run, unknown");
}

// A process may be killed while it writes its last line. This must not make the
// rest of its file unusable.
TEST_CASE("An incomplete last line is skipped and counted") {
    const auto file = io::parse_history(
        R"({"event":"in_force","at_us":1,"who":"sea-1","revision":3})"
        "\n{\"event\":\"in_f",
        "run.jsonl");
    REQUIRE(file.has_value());
    REQUIRE(file.value().events.size() == 1);
    REQUIRE(file.value().skipped.at("(cut off)") == 1);
}
