#include <catch2/catch.hpp>

#include <string>

#include <waxwingvale/membership/configuration_exchange.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr duration answer_within = 400ms;
const std::string valid_here = "valid";
const std::string valid_elsewhere = "valid elsewhere";

result<configuration> parse_unless(bool refused,
                                   const configuration_text& file) {
    if (refused) {
        return error{error_code::malformed, "test", "", "not valid"};
    }
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

result<configuration> parse_here(const configuration_text& file) {
    return parse_unless(file.text != valid_here, file);
}

} // namespace

TEST_CASE("a file that is not valid here is not asked for with each word") {
    // Guards against a whole file that peers of another release send again and
    // again, and against a word in the log that says it is awaited.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_within);
    const auto file = pack(valid_elsewhere);
    unsigned requests = 0;
    for (duration passed{}; passed < 10s; passed += 150ms) {
        const auto now = start + passed;
        exchange.hear("pdx-1", {7, 0}, 0ms, now);
        if (exchange.due_request(now)) {
            ++requests;
            REQUIRE(exchange.take("pdx-1", {7, file}));
        }
    }
    CHECK(requests == 1);
    CHECK_FALSE(exchange.awaited(start + 10s));
}
