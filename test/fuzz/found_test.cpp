#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "entry/grant_message.hpp"
#include "fuzz_target.hpp"
#include "io/link_frame.hpp"

using namespace waxwingvale;

TEST_CASE("a frame of nothing but array heads is refused") {
    // A stranger connects to a port for peers and sends two megabytes of the
    // same byte, before it has proved anything. The CBOR parser calls itself
    // for each level; the process would end with its stack overflown.
    const byte_string frame(2'000'000, 0x81);
    const auto decoded = io::decode_link_frame(frame.data(), frame.size());
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().code == error_code::malformed);
}

TEST_CASE("a lease without bound is refused") {
    // A peer of another release, or one with a damaged memory, names a lease
    // that overflows the moment at which it would end: the grant would count
    // as over at once, or never.
    const auto with_lease = [](const nlohmann::json& lease) {
        const nlohmann::json message = {{"s", "desk"}, {"t", "g"},
                                        {"g", 9},      {"r", 3},
                                        {"h", "d-1"},  {"z", lease}};
        return entry::decode_grant_message("pdx-1",
                                           nlohmann::json::to_cbor(message));
    };
    CHECK(with_lease(2'000'000).has_value());
    CHECK_FALSE(with_lease(-1).has_value());
    CHECK_FALSE(with_lease(INT64_MAX).has_value());
    CHECK_FALSE(with_lease(1e30).has_value());
}
