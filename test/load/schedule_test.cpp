#include <catch2/catch.hpp>
#include <vector>

#include "waxwing_load/send_schedule.hpp"
#include "waxwing_load/steer_answer.hpp"

using namespace waxwingvale;
using namespace waxwingvale::load;

namespace {

load_options plan(schedule_kind kind) {
    load_options options;
    options.schedule = kind;
    options.callers = 30;
    options.rate = 1000;
    options.burst_period = std::chrono::milliseconds(100);
    options.calls = 60;
    options.length = std::chrono::seconds(1);
    options.write_fraction = 0.5;
    options.seed = 7;
    return options;
}

std::vector<planned_send> all(const load_options& options) {
    send_schedule schedule(options);
    std::vector<planned_send> sends;
    while (const auto send = schedule.next()) {
        sends.push_back(*send);
    }
    return sends;
}

} // namespace

TEST_CASE("a burst brings every caller within three milliseconds") {
    const auto sends = all(plan(schedule_kind::burst));
    REQUIRE(sends.size() == 60);
    CHECK(sends[29].at < burst_width);
    CHECK(sends[29].caller == 29);
    CHECK(sends[30].at == std::chrono::milliseconds(100));
}

TEST_CASE("a fixed schedule is even and bounded in time") {
    auto options = plan(schedule_kind::fixed);
    options.length = std::chrono::milliseconds(10);
    const auto sends = all(options);
    REQUIRE(sends.size() == 10);
    CHECK(sends[9].at == std::chrono::milliseconds(9));
}

TEST_CASE("the same seed gives the same plan") {
    const auto options = plan(schedule_kind::poisson);
    const auto one = all(options);
    const auto other = all(options);
    REQUIRE(one.size() == other.size());
    for (std::size_t i = 0; i < one.size(); ++i) {
        CHECK(one[i].at == other[i].at);
        CHECK(one[i].caller == other[i].caller);
        CHECK(one[i].write == other[i].write);
    }
}

TEST_CASE("a steer answer is decoded, and a broken one refused") {
    const auto good = decode_steer_answer(
        R"({"service":"s","addresses":[{"instance":"sea-1",
            "host":"127.0.0.1","port":80,"weight":6}],
            "keep_ms":5000,"key_prefix":"sea-1.9"})",
        "steer");
    REQUIRE(good);
    CHECK(good.value().addresses.front() == endpoint{"127.0.0.1", 80});
    CHECK(good.value().keep == std::chrono::seconds(5));
    for (const auto* broken : {"", "[]", R"({"addresses":[]})",
                               R"({"addresses":[{"host":1,"port":"x"}]})"}) {
        const auto refused = decode_steer_answer(broken, "steer");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == error_code::malformed);
    }
}
