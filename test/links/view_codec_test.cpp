#include <catch2/catch.hpp>
#include <string>

#include <waxwingvale/io/view_codec.hpp>

using namespace waxwingvale;

namespace {

constexpr duration second = std::chrono::seconds(1);
const time_point sender_now{100 * second};
const time_point reader_now{7 * second};

view sample_view() {
    view value;
    value.control_incarnation = 11;
    value.serial = 12;
    value.self.id = {"sea-1", 11};
    value.self.data_centre = "sea";
    value.self.addresses = {"127.0.0.1", 1, 2, 3, 4};
    value.members = {value.self};
    value.beliefs = {{"slate-1", 5, backend_state::leaving,
                      belief_source::probe, "sea-2", sender_now - 2 * second}};
    value.quarantined = {1, ~std::uint64_t{0}};
    value.fresh = true;
    value.published = {3, "the file"};
    return value;
}

result<configuration> parse(std::string_view text, std::string_view,
                            std::uint64_t revision) {
    if (text != "the file") {
        return error{error_code::malformed, "parse", "", ""};
    }
    configuration parsed;
    parsed.revision = revision;
    return parsed;
}

} // namespace

TEST_CASE("a view arrives whole, its moments on the reader's clock") {
    io::view_decoder decoder(parse);
    const auto sent = sample_view();
    const auto got = decoder.decode(
        io::encode_view(sent, io::configuration_part::included, sender_now),
        reader_now);
    REQUIRE(got.has_value());
    const auto& value = *got.value();
    CHECK(value.control_incarnation == sent.control_incarnation);
    CHECK(value.serial == sent.serial);
    CHECK(value.self == sent.self);
    CHECK(value.members == sent.members);
    CHECK(value.quarantined == sent.quarantined);
    CHECK(value.fresh);
    CHECK(value.published == sent.published);
    REQUIRE(value.config);
    CHECK(value.config->revision == 3);
    REQUIRE(value.beliefs.size() == 1);
    CHECK(value.beliefs[0].since == reader_now - 2 * second);
    CHECK(value.beliefs[0].observer == "sea-2");
}

TEST_CASE("a view without the file stands on the one received before") {
    io::view_decoder decoder(parse);
    const auto short_form = io::encode_view(
        sample_view(), io::configuration_part::revision_only, sender_now);
    const auto early = decoder.decode(short_form, reader_now);
    REQUIRE_FALSE(early.has_value());
    CHECK(early.error().code == error_code::stale);
    REQUIRE(decoder
                .decode(io::encode_view(sample_view(),
                                        io::configuration_part::included,
                                        sender_now),
                        reader_now)
                .has_value());
    const auto later = decoder.decode(short_form, reader_now);
    REQUIRE(later.has_value());
    CHECK(later.value()->config->revision == 3);
}

TEST_CASE("bytes that are no view are malformed") {
    io::view_decoder decoder(parse);
    auto bytes = io::encode_view(sample_view(),
                                 io::configuration_part::included, sender_now);
    for (std::size_t size = 0; size < bytes.size(); size += 7) {
        const io::view_bytes cut(bytes.begin(),
                                 bytes.begin() + static_cast<long>(size));
        const auto got = decoder.decode(cut, reader_now);
        REQUIRE_FALSE(got.has_value());
        CHECK(got.error().code == error_code::malformed);
    }
}
