#include <catch2/catch.hpp>
#include <string>

#include "standin/request_ends.hpp"

using namespace waxwingvale::standin;

namespace {

std::string line_of(const std::string& name, const std::string& end,
                    const std::string& by) {
    return "time=t level=INFO program=p instance=i event=request_ended "
           "request=" +
           name + " peer=127.0.0.1 end=" + end + " by=" + by + " status=200";
}

} // namespace

// Guards against a soak that passes since it does not know the lines.
TEST_CASE("lines of ended requests are told apart and counted") {
    request_ends seen;
    seen.take(line_of("a", "answered", "nobody"));
    seen.take(line_of("b", "answered", "nobody"));
    seen.take(line_of("b", "caller-left", "caller"));
    seen.take(line_of("\"\"", "stopped", "instance"));
    seen.take("event=detoured_request_ended request=c end=stopped by=instance");
    CHECK(seen.ended("answered") == 2);
    CHECK(seen.ended("stopped") == 1);
    CHECK(seen.by_name().size() == 2);
    CHECK(seen.by_name()["b"].size() == 2);
    CHECK(seen.take_instances_doing().size() == 1);
    CHECK(seen.take_instances_doing().empty());
}

// Guards against a count of lines of which some are missing.
TEST_CASE("dropped lines are noticed until all is forgotten") {
    request_ends seen;
    CHECK(!seen.lines_were_dropped());
    seen.take("level=WARNING event=log_lines_dropped lines=3 total=3");
    CHECK(seen.lines_were_dropped());
    seen.clear();
    CHECK(!seen.lines_were_dropped());
}
