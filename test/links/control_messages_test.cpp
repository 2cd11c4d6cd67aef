#include <catch2/catch.hpp>

#include <waxwingvale/io/control_messages.hpp>

using namespace waxwingvale;

TEST_CASE("what entry tells control arrives as it was said") {
    const auto life =
        io::decode_entry_life(io::encode(io::entry_life{1700000000000000}));
    REQUIRE(life.has_value());
    CHECK(life.value().incarnation == 1700000000000000);

    const auto in_force =
        io::decode_in_force(io::encode(io::in_force_report{42}));
    REQUIRE(in_force.has_value());
    CHECK(in_force.value().revision == 42);

    const auto suspect = io::decode_suspect(
        io::encode(io::suspect_report{~std::uint64_t{0}, "slate-1", 7, true}));
    REQUIRE(suspect.has_value());
    CHECK(suspect.value().fingerprint == ~std::uint64_t{0});
    CHECK(suspect.value().backend_server == "slate-1");
    CHECK(suspect.value().incarnation == 7);
    CHECK(suspect.value().alone);

    const auto quarantine =
        io::decode_quarantine(io::encode(io::quarantine_report{9}));
    REQUIRE(quarantine.has_value());
    CHECK(quarantine.value().fingerprint == 9);
}

TEST_CASE("messages that lack a field or hold another type are malformed") {
    const auto wrong = io::encode(io::quarantine_report{9});
    CHECK(io::decode_entry_life(wrong).error().code == error_code::malformed);
    CHECK(io::decode_suspect(wrong).error().code == error_code::malformed);
    CHECK(io::decode_beliefs(wrong, time_point()).error().code ==
          error_code::malformed);
    CHECK(io::decode_in_force({0xff, 0x00}).error().code ==
          error_code::malformed);
}
