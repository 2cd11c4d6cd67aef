#include <catch2/catch.hpp>

#include "ctl_run.hpp"
#include "standin/temporary_folder.hpp"
#include "waxwingctl/trace_command.hpp"

using namespace waxwingvale;

namespace {

constexpr const char* log_of_sea =
    "time=2026-01-02T10:00:00.100 level=INFO program=waxwing-node "
    "instance=sea-1 event=configuration_in_force revision=7\n"
    "time=2026-01-02T10:00:00.200 level=INFO program=waxwing-node "
    "instance=sea-1 event=configuration_in_force revision=9\n"
    "time=2026-01-02T10:00:00.300 level=INFO program=waxwing-node "
    "instance=sea-1 event=view_changed of=backend_server name=i-1 now=usable "
    "revision=9 serial=3 details=\"service=desk address=127.0.0.1:80\"\n"
    "time=2026-01-02T10:00:00.300 level=INFO program=waxwing-node "
    "instance=sea-1 event=view_changed of=backend_server name=i-2 now=usable\n"
    "time=2026-01-02T10:00:01.000 level=INFO program=waxwing-node "
    "instance=sea-1 event=call_taken request=r1 call=4 path=\"/a b\"\n"
    "time=2026-01-02T10:00:01.010 level=INFO program=waxwing-node "
    "instance=sea-1 event=call_placed request=r1 call=4 backend_server=i-1\n"
    "a word of another program\n"
    "time=2026-01-02T10:00:01.020 level=INFO program=waxwing-node "
    "instance=sea-1 event=call_taken request=r2 call=5\n"
    "time=2026-01-02T10:00:02.000 level=INFO program=waxwing-node "
    "instance=sea-1 event=configuration_in_force revision=11\n";

constexpr const char* log_of_pdx =
    "12.5 pdx-1: time=2026-01-02T10:00:01.500 level=INFO program=waxwing-node "
    "instance=pdx-1 event=call_taken request=r1 call=9\n"
    "12.5 pdx-1: time=2026-01-02T10:00:01.510 level=INFO program=waxwing-node "
    "instance=pdx-1 event=call_refused request=r1 call=9 reason=too-late\n";

std::vector<std::string> rows_of(const std::string& table) {
    std::vector<std::string> rows;
    std::istringstream text(table);
    for (std::string row; std::getline(text, row);) {
        rows.push_back(row);
    }
    return rows;
}

bool has(const std::string& row, const std::string& word) {
    return row.find(word) != std::string::npos;
}

} // namespace

// A caller complains with nothing but the id of its request, which was sent to
// two instances. The engineer has the logs of both.
TEST_CASE("one request is followed through several logs") {
    const standin::temporary_folder folder;
    const auto sea = folder.write("sea.log", log_of_sea);
    const auto pdx = folder.write("pdx.log", log_of_pdx);
    const auto run = run_ctl({"trace", "r1", sea, pdx});
    CHECK(run.code == 0);
    const auto rows = rows_of(run.out);
    REQUIRE(rows.size() == 7);
    CHECK(has(rows[1], "revision=9"));
    CHECK(has(rows[2], "name=i-1"));
    CHECK(has(rows[3], "path=\"/a b\""));
    CHECK(has(rows[4], "backend_server=i-1"));
    CHECK(has(rows[5], "pdx-1"));
    CHECK(has(rows[6], "reason=too-late"));
}

TEST_CASE("a request of which no log says anything is told as such") {
    const standin::temporary_folder folder;
    const auto run =
        run_ctl({"trace", "r9", folder.write("sea.log", log_of_sea)});
    CHECK(run.code == 1);
    CHECK(has(run.err, "r9"));
    CHECK(run_ctl({"trace", "r1", "no-such-file"}).code == 1);
}

TEST_CASE("a line whose quote does not end is no line") {
    CHECK_FALSE(ctl::log_line::parse("time=1 event=a path=\"x"));
    CHECK_FALSE(ctl::log_line::parse("time=1 path=x"));
    CHECK_FALSE(ctl::log_line::parse("event=a"));
    const auto line = ctl::log_line::parse("time=1 event=a b=\"c \\\"d\\n\"");
    REQUIRE(line);
    CHECK(line->value("b") == "c \"d\n");
}
