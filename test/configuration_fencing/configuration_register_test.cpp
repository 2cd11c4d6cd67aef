#include <catch2/catch.hpp>

#include <waxwingvale/membership/configuration_register.hpp>

using namespace waxwingvale;
using membership::configuration_register;
using membership::offer_outcome;

namespace {

result<configuration> parse(const configuration_text& file) {
    if (file.text == "bad") {
        return error{error_code::invalid_argument, "parse", "configuration",
                     "services[0].name: expected a name"};
    }
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

} // namespace

TEST_CASE("a platform that comes back older changes nothing") {
    // The platform's service is restored from a copy of yesterday. Its readers
    // get an old file under an old revision; what is in force stays.
    configuration_register holds(parse);
    CHECK(holds.offer({7, "new"}) == offer_outcome::accepted);
    CHECK(holds.offer({6, "old"}) == offer_outcome::older);
    CHECK(holds.revision() == 7);
    CHECK(holds.published().text == "new");
    CHECK(holds.counters().older == 1);
}

TEST_CASE("a refused file stays visible and the former stays in force") {
    // An operator publishes a file with a mistake. Every instance names the
    // field; callers are served by the file before it until a good one comes.
    configuration_register holds(parse);
    CHECK(holds.offer({1, "good"}) == offer_outcome::accepted);
    CHECK(holds.offer({2, "bad"}) == offer_outcome::refused);
    CHECK(holds.revision() == 1);
    REQUIRE(holds.refused());
    CHECK(holds.refused()->revision == 2);
    CHECK(holds.refused()->reason.detail ==
          "services[0].name: expected a name");
    CHECK(holds.offer({2, "bad"}) == offer_outcome::known);
    CHECK(holds.offer({3, "better"}) == offer_outcome::accepted);
    CHECK_FALSE(holds.refused());
}

TEST_CASE("two files under one revision: the first stays, and it is counted") {
    // Somebody published twice under one number, perhaps from two copies of
    // the platform. Instances cannot order the two.
    configuration_register holds(parse);
    CHECK(holds.offer({1, "one"}) == offer_outcome::accepted);
    CHECK(holds.offer({1, "another"}) == offer_outcome::conflicting);
    CHECK(holds.published().text == "one");
    CHECK(holds.offer({2, "bad"}) == offer_outcome::refused);
    CHECK(holds.offer({2, "good"}) == offer_outcome::conflicting);
    CHECK(holds.revision() == 1);
    CHECK(holds.counters().conflicting == 2);
}

TEST_CASE("a valid file between the one in force and a refused one counts") {
    configuration_register holds(parse);
    CHECK(holds.offer({1, "one"}) == offer_outcome::accepted);
    CHECK(holds.offer({3, "bad"}) == offer_outcome::refused);
    CHECK(holds.offer({2, "two"}) == offer_outcome::accepted);
    CHECK(holds.revision() == 2);
    REQUIRE(holds.refused());
    CHECK(holds.refused()->revision == 3);
}
