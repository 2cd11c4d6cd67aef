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

TEST_CASE("A history that keeps every promise passes") {
    const auto file = data_file("good");
    const auto found = check_history(file.events, {});
    INFO(report(found));
    REQUIRE(found.empty());
    REQUIRE(file.skipped.at("end") == 1);
}

// A checker that finds nothing is only worth something when it finds what is
// there. Each history breaks one promise, some of them in two ways, and keeps
// all others.
TEST_CASE("Each rule rejects the history that was doctored for it") {
    const auto rule = GENERATE(range(0, 10));
    const auto broken = static_cast<history_rule>(rule);
    const auto found = check_history(data_file(to_string(broken)).events, {});
    INFO(to_string(broken));
    INFO(report(found));
    REQUIRE_FALSE(found.empty());
    for (const auto& violation : found) {
        REQUIRE(violation.rule == broken);
    }
    const std::set<history_rule> in_two_ways{
        history_rule::answered, history_rule::truly_not_run,
        history_rule::no_new_work, history_rule::backend_not_cut};
    REQUIRE(found.size() == (in_two_ways.count(broken) == 0 ? 1U : 2U));
}

TEST_CASE("The order of the events in the files does not matter") {
    auto events = data_file("good").events;
    std::reverse(events.begin(), events.end());
    REQUIRE(check_history(events, {}).empty());
}

TEST_CASE("The bounds are the caller's to set") {
    history_bounds strict;
    strict.newest_everywhere = std::chrono::milliseconds(100);
    const auto found = check_history(data_file("good").events, strict);
    REQUIRE_FALSE(found.empty());
    REQUIRE(found[0].rule == history_rule::newest_everywhere);
    REQUIRE(found[0].subject == "pdx-1");
}

// A stand-in writes a line that the reader does not understand. Left out
// silently, the run would pass unchecked.
TEST_CASE("A bad line is an error that names line and field") {
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

// A process is killed while it writes its last line.
TEST_CASE("A last line that was cut off is skipped and counted") {
    const auto file = io::parse_history(
        R"({"event":"in_force","at_us":1,"who":"sea-1","revision":3})"
        "\n{\"event\":\"in_f",
        "run.jsonl");
    REQUIRE(file.has_value());
    REQUIRE(file.value().events.size() == 1);
    REQUIRE(file.value().skipped.at("(cut off)") == 1);
}
