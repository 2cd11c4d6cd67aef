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

TEST_CASE("a file with an older revision does not replace the one in force") {
    // Guards against an old configuration taking effect again after the
    // discovery platform was restored from yesterday's copy and serves an old
    // file with an old revision.
    configuration_register configurations(parse);
    CHECK(configurations.offer({7, "new"}) == offer_outcome::accepted);
    CHECK(configurations.offer({6, "old"}) == offer_outcome::older);
    CHECK(configurations.revision() == 7);
    CHECK(configurations.file_in_force().text == "new");
    CHECK(configurations.counters().older == 1);
}

TEST_CASE("a refused file is reported and the previous file stays in force") {
    // Guards against an operator's mistake in a published file taking effect or
    // going unnoticed. Every instance reports the field in error and serves
    // callers by the previous file until a valid one arrives.
    configuration_register configurations(parse);
    CHECK(configurations.offer({1, "good"}) == offer_outcome::accepted);
    CHECK(configurations.offer({2, "bad"}) == offer_outcome::refused);
    CHECK(configurations.revision() == 1);
    REQUIRE(configurations.refused());
    CHECK(configurations.refused()->revision == 2);
    CHECK(configurations.refused()->reason.detail ==
          "services[0].name: expected a name");
    CHECK(configurations.offer({2, "bad"}) == offer_outcome::duplicate);
    CHECK(configurations.offer({3, "better"}) == offer_outcome::accepted);
    CHECK_FALSE(configurations.refused());
}

TEST_CASE("of two files with one revision the first stays in force and the "
          "conflict is counted") {
    // Guards against instances that disagree permanently because two different
    // files were published with the same revision, for example by two copies of
    // the platform. Instances cannot order the two.
    configuration_register configurations(parse);
    CHECK(configurations.offer({1, "one"}) == offer_outcome::accepted);
    CHECK(configurations.offer({1, "another"}) == offer_outcome::conflicting);
    CHECK(configurations.file_in_force().text == "one");
    CHECK(configurations.offer({2, "bad"}) == offer_outcome::refused);
    CHECK(configurations.offer({2, "good"}) == offer_outcome::conflicting);
    CHECK(configurations.revision() == 1);
    CHECK(configurations.counters().conflicting == 2);
}

TEST_CASE("a valid file older than a refused one but newer than the one in "
          "force is accepted") {
    configuration_register configurations(parse);
    CHECK(configurations.offer({1, "one"}) == offer_outcome::accepted);
    CHECK(configurations.offer({3, "bad"}) == offer_outcome::refused);
    CHECK(configurations.offer({2, "two"}) == offer_outcome::accepted);
    CHECK(configurations.revision() == 2);
    REQUIRE(configurations.refused());
    CHECK(configurations.refused()->revision == 3);
}
