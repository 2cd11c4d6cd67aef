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

TEST_CASE("Several files are checked as one history") {
    const auto checked =
        check_files({data_name("probe-budget"), data_name("no-reversion")}, {});
    REQUIRE(checked.has_value());
    REQUIRE(checked.value().found.size() == 2);
    const auto text = report(checked.value());
    REQUIRE(text.find("broken no-reversion at 300 us: sea-1 went from "
                      "revision 5 to 4") != std::string::npos);
}

TEST_CASE("A file that is not there is an error that names it") {
    const auto checked = check_files({"nowhere.jsonl"}, {});
    REQUIRE(checked.error().peer == "nowhere.jsonl");
}

TEST_CASE("A bound that is no number is refused by its option's name") {
    const std::map<std::string, docopt::value> given{
        {"--probe-rate", docopt::value(std::string("often"))},
        {"--no-new-work-ms", docopt::value(std::string("3000"))},
        {"--in-force-ms", docopt::value(std::string("5000"))}};
    REQUIRE_THROWS_WITH(bounds_from(given),
                        "--probe-rate=often is not a number of 0 or more");
}
