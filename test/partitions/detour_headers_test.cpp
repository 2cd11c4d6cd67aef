#include <catch2/catch.hpp>

#include "entry/detour_headers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

const std::string token = detour_token("a key for tests only");

} // namespace

TEST_CASE("a detoured request is read as it was written") {
    io::http_headers headers = {{"Accept", "text/plain"}};
    add_detour_header(headers, {"node-1", 2, true, 750ms}, token);
    const auto read = take_detour_header(headers, token);
    REQUIRE(read);
    CHECK(read.value().from == "node-1");
    CHECK(read.value().attempts_before == 2);
    CHECK(read.value().may_have_run);
    CHECK(read.value().time_left == 750ms);
    CHECK(headers == io::http_headers{{"Accept", "text/plain"}});
}

// Guards against callers that pass for instances.
TEST_CASE("a detoured request of nobody who holds the key is refused") {
    io::http_headers headers;
    CHECK_FALSE(take_detour_header(headers, token));
    add_detour_header(headers, {"node-1", 0, false, 1s},
                      detour_token("another key"));
    CHECK_FALSE(take_detour_header(headers, token));
    headers = {{"Waxwing-Detour", token + " node-1 x"}};
    CHECK_FALSE(take_detour_header(headers, token));
}

// Guards against a caller's header of the same name that is taken for ours.
TEST_CASE("the header of an instance comes before a caller's") {
    io::http_headers headers = {{"waxwing-detour", "a caller's own"}};
    add_detour_header(headers, {"node-1", 0, false, 1s}, token);
    CHECK(take_detour_header(headers, token));
    CHECK(headers.size() == 1);
    add_outcome_header(headers, detour_outcome::not_taken);
    CHECK(take_outcome_header(headers) == detour_outcome::not_taken);
    CHECK_FALSE(take_outcome_header(headers).has_value());
}
