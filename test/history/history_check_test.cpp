#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>

#include "waxwing_history/history_check.hpp"

using namespace waxwingvale;
using namespace waxwingvale::history_check;

namespace {

std::string data_name(const std::string& name) {
    return std::string(WAXWING_TEST_DATA) + '/' + name + ".jsonl";
}

} // namespace

TEST_CASE("Events from several files are checked as one history") {
    const auto checked =
        check_files({data_name("probe-budget"), data_name("no-reversion")}, {});
    REQUIRE(checked.has_value());
    REQUIRE(checked.value().found.size() == 2);
    const auto text = report(checked.value());
    REQUIRE(text.find("broken no-reversion at 300 us: sea-1 went from "
                      "revision 5 to 4") != std::string::npos);
}

TEST_CASE("The error for a missing file names the file") {
    const auto checked = check_files({"nowhere.jsonl"}, {});
    REQUIRE(checked.error().peer == "nowhere.jsonl");
}

TEST_CASE("The error for a bound that is not a number names its option") {
    const std::map<std::string, docopt::value> given{
        {"--probe-rate", docopt::value(std::string("often"))},
        {"--no-new-work-ms", docopt::value(std::string("3000"))},
        {"--in-force-ms", docopt::value(std::string("5000"))}};
    REQUIRE_THROWS_WITH(bounds_from(given),
                        "--probe-rate=often is not a number of 0 or more");
}
