#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "standin/body_digest.hpp"
#include "standin/fleet.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;
using nlohmann::json;

namespace {

std::string outcome_of(const io::http_call_result& ended) {
    const auto* found =
        io::find_header(ended.response.value().headers, "Waxwing-Outcome");
    return found == nullptr ? "" : *found;
}

} // namespace

TEST_CASE("a read and a booking are served from end to end") {
    // Nothing fails here: a referee's phone looks at games and confirms one,
    // through separate processes, and gets the whole answer to its own
    // request. Were the path broken, nobody would get anything at all.
    fleet running({});
    running.start();
    const auto read = http_request_once(running.read_call(0));
    REQUIRE(status_of(read) == 200);
    CHECK(outcome_of(read) == "ran");
    CHECK(json::parse(body_of(read)).at("digest") == body_digest("/games", ""));

    const auto key = running.key_of(1, "1");
    const auto booked = http_request_once(running.book_call(1, key));
    REQUIRE(status_of(booked) == 200);
    CHECK(outcome_of(booked) == "ran");
    CHECK(json::parse(body_of(booked)).at("key") == key);
    CHECK(running.history().runs_of(key) == 1);
}

TEST_CASE("a booking sent again gets the first answer and runs once") {
    // A phone loses its connection after it has sent a booking and sends it
    // again, to the same entry instance or to another. Were it run again, the
    // official would be booked and paid twice.
    fleet running({});
    running.start();
    const auto key = running.key_of(0, "1");
    const auto first = http_request_once(running.book_call(0, key));
    const auto again = http_request_once(running.book_call(0, key));
    const auto elsewhere = http_request_once(running.book_call(1, key));
    REQUIRE(status_of(first) == 200);
    CHECK(body_of(again) == body_of(first));
    CHECK(body_of(elsewhere) == body_of(first));
    CHECK(running.history().runs_of(key) == 1);
}
