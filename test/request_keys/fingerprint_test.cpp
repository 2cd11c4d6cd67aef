#include <catch2/catch.hpp>

#include <waxwingvale/decision/fingerprint.hpp>

using waxwingvale::decision::copy_identity;
using waxwingvale::decision::crash_fingerprint_of;
using waxwingvale::decision::fingerprint_of;

// Guards against a quarantined request that still runs at another entry
// instance because that instance has another release and computes another
// fingerprint. The expected value is the output of
// printf '1:a1:b1:c1:d' | sha256sum | cut -c1-16
TEST_CASE("A fingerprint is the same in every process and release") {
    REQUIRE(fingerprint_of("a", "b", "c", "d").value == 0x40b395eaa29be6f5);
}

TEST_CASE("The same bytes split into other parts give another fingerprint") {
    REQUIRE(fingerprint_of("a", "POST", "/x", "yz") !=
            fingerprint_of("a", "POST", "/xy", "z"));
    REQUIRE(fingerprint_of("a", "POST", "/x", "1:b") !=
            fingerprint_of("a", "POST", "/x1", ":b"));
}

// Guards against two failures when an unusual header of one caller crashes
// backend servers: callers that send the same request without that header must
// not be refused, and a resend of the crashing request with a new trace id and
// deadline must be recognised.
TEST_CASE("Crash fingerprints include headers except those of single copies") {
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

// Guards against copies that are not known as such, and against neighbours that
// are refused in the place of a request that they only resemble.
TEST_CASE("Copies agree in who asks whom for what, and in nothing less") {
    const copy_identity one{"a.example", "t", "GET", "/x", "body", {}};
    const auto known = crash_fingerprint_of(one);
    CHECK(crash_fingerprint_of(copy_identity(one)) == known);
    auto other = one;
    other.authority = "b.example";
    CHECK(crash_fingerprint_of(other) != known);
    other = one;
    other.tenant = "u";
    CHECK(crash_fingerprint_of(other) != known);
    other = one;
    other.method = "HEAD";
    CHECK(crash_fingerprint_of(other) != known);
    other = one;
    other.target = "/x?";
    CHECK(crash_fingerprint_of(other) != known);
    other = one;
    other.body = "bodies";
    CHECK(crash_fingerprint_of(other) != known);
    other = one;
    other.headers = {{"X-Account", "b"}};
    CHECK(crash_fingerprint_of(other) != known);
}

// Guards against copies of a long body that differ by how much of it had come
// when they were looked at.
TEST_CASE("Of a long body only the beginning identifies its request") {
    const std::string long_body(waxwingvale::decision::identified_body + 9,
                                'x');
    copy_identity whole{"a", "t", "POST", "/x", long_body, {}};
    auto part = whole;
    part.body.remove_suffix(5);
    CHECK(crash_fingerprint_of(part) == crash_fingerprint_of(whole));
    part.body.remove_suffix(5);
    CHECK(crash_fingerprint_of(part) != crash_fingerprint_of(whole));
}
