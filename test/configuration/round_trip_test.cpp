#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <waxwingvale/model/configuration_file.hpp>

#include "arbitrary_configuration.hpp"

using namespace waxwingvale;

TEST_CASE("every valid configuration written out parses to an equal value") {
    CHECK(rc::check([] {
        const auto made = arbitrary_configuration();
        const auto text = write_configuration(made);
        const auto parsed = parse_configuration(text, "made", made.revision);
        if (!parsed) {
            RC_FAIL(to_string(parsed.error()));
        }
        RC_ASSERT(parsed.value() == made);
    }));
}
