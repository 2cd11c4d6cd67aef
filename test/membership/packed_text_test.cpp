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

TEST_CASE("a configuration travels in a fraction of its bytes") {
    const auto text = repetitive_text();
    const auto packed = pack(text);
    CHECK(packed.size() * 4 < text.size());
    const auto again = unpack(packed, text.size());
    REQUIRE(again);
    CHECK(again.value() == text);
    CHECK(unpack(pack(""), 0).value().empty());
}

TEST_CASE("bytes that are no packed text are an error") {
    // A peer sends half a file, or a few bytes that would unpack to gigabytes.
    // Taken as they come, the one puts a cut configuration in force and the
    // other ends the process for want of memory.
    const auto text = repetitive_text();
    auto cut = pack(text);
    cut.resize(cut.size() / 2);
    CHECK_FALSE(unpack(cut, text.size()));
    CHECK_FALSE(unpack({1, 2, 3}, text.size()));
    CHECK_FALSE(unpack({}, text.size()));
    CHECK_FALSE(unpack(pack(text), text.size() - 1));
}
