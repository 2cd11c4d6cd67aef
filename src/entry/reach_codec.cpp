#include "entry/reach_codec.hpp"

#include <nlohmann/json.hpp>

#include "io/cbor_reading.hpp"

namespace waxwingvale::entry {

using nlohmann::json;

std::vector<std::uint8_t> encode(const reach_message& message) {
    return json::to_cbor(
        json({{"round", message.round}, {"asks", message.asks}}));
}

result<reach_message>
decode_reach_message(const std::vector<std::uint8_t>& bytes) {
    try {
        const auto read = io::parse_cbor(bytes.data(), bytes.size());
        reach_message message;
        message.round = io::read_number<std::uint64_t>(read.at("round"));
        message.asks = read.at("asks").get<bool>();
        return message;
    } catch (const json::exception& problem) {
        return error{error_code::malformed, "decode reach message", "",
                     problem.what()};
    }
}

} // namespace waxwingvale::entry
