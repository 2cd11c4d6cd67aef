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
    return standing_of({word_age, behind_for, woke_recently}, max_age);
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

TEST_CASE("the age of word is allowed that watches of the platform make") {
    // Guards against 503 in place of 404 where little changes and the platform
    // is watched for long.
    CHECK(max_word_age_for(600ms, 400ms) == max_age);
    CHECK(max_word_age_for(10s, 3s) == 13s);
}
