#include <catch2/catch.hpp>

#include <string>

#include <waxwingvale/membership/packed_text.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;

namespace {

std::string repetitive_text() {
    std::string text;
    for (unsigned each = 0; each < 1600; ++each) {
        text += R"({"route": "/lepu)" + std::to_string(each) + R"(/"},)";
    }
    return text;
}

} // namespace

TEST_CASE("a configuration is compressed to less than a quarter of its size") {
    const auto text = repetitive_text();
    const auto packed = pack(text);
    CHECK(packed.size() * 4 < text.size());
    const auto unpacked = unpack(packed, text.size());
    REQUIRE(unpacked);
    CHECK(unpacked.value() == text);
    CHECK(unpack(pack(""), 0).value().empty());
}

TEST_CASE("unpacking rejects truncated, malformed and oversized data") {
    // Guards against a peer that sends half a file, which would put a truncated
    // configuration in force, or a few bytes that unpack to gigabytes, which
    // would end the process for lack of memory.
    const auto text = repetitive_text();
    auto truncated = pack(text);
    truncated.resize(truncated.size() / 2);
    CHECK_FALSE(unpack(truncated, text.size()));
    CHECK_FALSE(unpack({1, 2, 3}, text.size()));
    CHECK_FALSE(unpack({}, text.size()));
    CHECK_FALSE(unpack(pack(text), text.size() - 1));
}
