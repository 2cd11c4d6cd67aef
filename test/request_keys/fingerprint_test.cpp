#include <catch2/catch.hpp>

#include <waxwingvale/decision/fingerprint.hpp>

using waxwingvale::decision::crash_fingerprint_of;
using waxwingvale::decision::fingerprint_of;

// Two entry instances of different releases must agree, or a quarantined
// request would run on at one of them. The value is that of
// printf '1:a1:b1:c1:d' | sha256sum | cut -c1-16
TEST_CASE("A fingerprint is the same in every process and release") {
    REQUIRE(fingerprint_of("a", "b", "c", "d").value == 0x40b395eaa29be6f5);
}

TEST_CASE("Parts of a request do not run into one another") {
    REQUIRE(fingerprint_of("a", "POST", "/x", "yz") !=
            fingerprint_of("a", "POST", "/xy", "z"));
    REQUIRE(fingerprint_of("a", "POST", "/x", "1:b") !=
            fingerprint_of("a", "POST", "/x1", ":b"));
}

// One caller's odd header crashes backend servers. Everyone else who asks for
// the same thing must not be shut out with it, but the same caller's resend,
// with its new trace id and deadline, must be known again.
TEST_CASE("A crash is known by its headers, but not by those of one copy") {
    const auto with = [](const std::string& name, const std::string& value) {
        return crash_fingerprint_of("a", "GET", "/x", "",
                                    {{"Accept", "*/*"}, {name, value}});
    };
    REQUIRE(with("Cookie", "odd") != with("Cookie", "plain"));
    REQUIRE(with("cookie", "odd") == with("Cookie", "odd"));
    REQUIRE(with("X-Request-Id", "1") == with("traceparent", "2"));
    REQUIRE(with("Waxwing-Deadline-Ms", "50") == with("Idempotency-Key", "k"));
    REQUIRE(
        crash_fingerprint_of("a", "GET", "/x", "", {{"A", "1"}, {"B", "2"}}) ==
        crash_fingerprint_of("a", "GET", "/x", "", {{"B", "2"}, {"A", "1"}}));
}
