#include <catch2/catch.hpp>

#include <waxwingvale/membership/configuration_proof.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

constexpr duration max_age = 1900ms;

configuration_standing standing(std::optional<duration> word_age,
                                std::optional<duration> behind_for = {},
                                bool woke_recently = false) {
    configuration_signs signs;
    signs.word_age = word_age;
    signs.behind_for = behind_for;
    signs.woke_recently = woke_recently;
    return standing_of(signs, max_age);
}

configuration_signs proved_now() {
    configuration_signs signs;
    signs.word_age = 0ms;
    signs.proof_age = 0ms;
    return signs;
}

} // namespace

TEST_CASE("a configuration is current while the platform is heard of") {
    CHECK(standing(0ms) == configuration_standing::current);
    CHECK(standing(max_age) == configuration_standing::current);
}

TEST_CASE("without recent word of the platform a configuration is unproved") {
    // Guards against 404 for a route that was added since the last word, and by
    // an instance that has just started and has heard nothing yet.
    CHECK(standing(max_age + 1ms) == configuration_standing::unconfirmed);
    CHECK(standing(std::nullopt) == configuration_standing::unconfirmed);
}

TEST_CASE("a configuration that is known to be old is superseded") {
    // Guards against 404 for a route of a configuration that is on its way.
    CHECK(standing(0ms, 100ms) == configuration_standing::superseded);
    CHECK(standing(5s, 100ms) == configuration_standing::superseded);
    CHECK(standing(0ms, 10ms) == configuration_standing::current);
    CHECK(standing(0ms, 0ms, true) == configuration_standing::superseded);
}

TEST_CASE("no request is run by routes that others have replaced for long") {
    // Guards against a request that is run by the service to which its route
    // led before.
    auto signs = proved_now();
    CHECK(routes_hold(signs, max_age));
    signs.behind_for = 300ms;
    signs.proof_age = 400ms;
    CHECK(routes_hold(signs, max_age));
    signs.proof_age = max_age + 1ms;
    CHECK_FALSE(routes_hold(signs, max_age));
    signs.proof_age.reset();
    CHECK_FALSE(routes_hold(signs, max_age));
}

TEST_CASE("no request is run by routes that may have changed during a stop") {
    // Guards against the same by a process that has slept through the change.
    auto signs = proved_now();
    signs.word_age = max_age + 1ms;
    signs.proof_age = max_age + 1ms;
    CHECK(routes_hold(signs, max_age));
    signs.unheard_for = 10ms;
    CHECK_FALSE(routes_hold(signs, max_age));
    signs.unheard_for = 60s;
    CHECK_FALSE(routes_hold(signs, max_age));
    signs.unheard_for.reset();
    signs.runs_late = true;
    CHECK_FALSE(routes_hold(signs, max_age));
}

TEST_CASE("routes that were proved a moment ago hold through a stop") {
    // Guards against requests that wait and are refused on each waking of a
    // process that is stopped again and again.
    auto signs = proved_now();
    signs.proof_age = 1200ms;
    signs.unheard_for = 0ms;
    signs.runs_late = true;
    signs.behind_for = 100ms;
    CHECK(routes_hold(signs, max_age));
}

TEST_CASE("known routes are used while the platform is away") {
    // Guards against callers that nobody serves since the platform is down.
    auto signs = proved_now();
    signs.word_age = 60s;
    signs.proof_age = 60s;
    signs.platform_answers = false;
    CHECK(routes_hold(signs, max_age));
    signs.runs_late = true;
    CHECK(routes_hold(signs, max_age));
    signs.unheard_for = 1s; // and nobody else can be heard
    CHECK_FALSE(routes_hold(signs, max_age));
    signs.unheard_for = 4s;
    CHECK(routes_hold(signs, max_age));
}

TEST_CASE("the age of word is allowed that watches of the platform make") {
    // Guards against 503 in place of 404 where little changes and the platform
    // is watched for long.
    CHECK(max_word_age_for(600ms, 400ms) == max_age);
    CHECK(max_word_age_for(10s, 3s) == 13s);
}
