#include <catch2/catch.hpp>
#include <waxwingvale/decision/recent_passes.hpp>

using namespace std::chrono_literals;
using waxwingvale::time_point;
using waxwingvale::decision::recent_passes;
using waxwingvale::decision::request_fingerprint;

TEST_CASE("a popular read that passed lately is no suspect") {
    // A backend server dies while it serves the read that all callers send.
    // Were it under suspicion, all of them would be refused for seconds.
    recent_passes passes(60s);
    const request_fingerprint popular{7};
    time_point now{};
    CHECK_FALSE(passes.passed_lately(popular, now));
    passes.note(popular, now);
    CHECK(passes.passed_lately(popular, now + 60s));
    CHECK_FALSE(passes.passed_lately(popular, now + 61s));
    // Another request at the same place of the table takes it over.
    const request_fingerprint other{7 + 4096};
    CHECK_FALSE(passes.passed_lately(other, now));
    passes.note(other, now);
    CHECK_FALSE(passes.passed_lately(popular, now));
}
