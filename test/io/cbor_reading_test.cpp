#include <catch2/catch.hpp>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "io/cbor_reading.hpp"

using namespace waxwingvale;

namespace {

constexpr std::uint8_t empty_array = 0x80;
constexpr std::uint8_t array_of_one = 0x81;
constexpr std::uint8_t array_of_4_bytes_length = 0x9a;

std::vector<std::uint8_t> array_of(std::uint32_t count, std::uint8_t element) {
    std::vector<std::uint8_t> bytes{array_of_4_bytes_length};
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<std::uint8_t>(count >> shift));
    }
    bytes.insert(bytes.end(), count, element);
    return bytes;
}

} // namespace

// Guards against a message between instances whose tree takes some hundred
// times the bytes of the message.
TEST_CASE("a message of too many values is refused before it takes memory") {
    const auto most = array_of(512 * 1024 - 1, empty_array);
    CHECK(io::parse_cbor(most.data(), most.size()).size() == 512 * 1024 - 1);
    const auto more = array_of(512 * 1024, empty_array);
    CHECK_THROWS_AS(io::parse_cbor(more.data(), more.size()),
                    nlohmann::json::exception);
    std::vector<std::uint8_t> deep(1'000'000, array_of_one);
    CHECK_THROWS_AS(io::parse_cbor(deep.data(), deep.size()),
                    nlohmann::json::exception);
}
