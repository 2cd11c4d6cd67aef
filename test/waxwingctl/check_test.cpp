#include <catch2/catch.hpp>
#include <unistd.h>

#include "ctl_run.hpp"
#include "expected_output.hpp"

namespace {

// Files are named relative to this folder, so that output is the same
// wherever the repository lies.
ctl_run run_here(const std::vector<std::string>& arguments) {
    REQUIRE(chdir(WAXWING_TEST_DATA) == 0);
    return run_ctl(arguments);
}

} // namespace

TEST_CASE("check names file and field of all that is wrong") {
    const auto run = run_here({"check", "good.json", "wrong.json",
                               "unfinished.json", "not-there.json"});
    CHECK(run.code == 1);
    CHECK(run.err.empty());
    check_expected("check", run.out);
}

TEST_CASE("check as JSON tells the same") {
    const auto run = run_here({"check", "--json", "good.json", "wrong.json"});
    CHECK(run.code == 1);
    check_expected("check-json", run.out);
}

TEST_CASE("check ends with 0 when every file is valid") {
    const auto run = run_here({"check", "good.json"});
    CHECK(run.code == 0);
    CHECK(run.out == "good.json: ok\n");
}

TEST_CASE("usage and version") {
    const auto help = run_ctl({"--help"});
    CHECK(help.code == 0);
    check_expected("help", help.out);
    CHECK(run_ctl({"--version"}).code == 0);
    const auto unknown = run_ctl({"change-everything"});
    CHECK(unknown.code == 2);
    CHECK(unknown.out.empty());
    const auto address =
        run_ctl({"status", "--admin=nowhere", "--token-file=none"});
    CHECK(address.code == 2);
    CHECK(address.err == "read command line --admin: invalid_argument: "
                         "expected HOST:PORT, found \"nowhere\"\n");
}
