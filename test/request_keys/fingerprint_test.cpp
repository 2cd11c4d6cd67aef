#include <catch2/catch.hpp>

#include <waxwingvale/decision/fingerprint.hpp>

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
