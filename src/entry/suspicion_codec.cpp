#include "entry/suspicion_codec.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "io/cbor_reading.hpp"

namespace waxwingvale::entry {

namespace {

using decision::suspicion_state;
using decision::suspicion_update;
using nlohmann::json;

json write(const suspicion_update& word) {
    return {{"fingerprint", word.fingerprint.value},
            {"state", static_cast<unsigned>(word.state)},
            {"tester", word.tester},
            {"backend_server", word.last_crashed.backend_server},
            {"incarnation", word.last_crashed.incarnation},
            {"age_us", word.age.count()}};
}

suspicion_update read(const json& from) {
    suspicion_update word;
    word.fingerprint.value =
        io::read_number<std::uint64_t>(from.at("fingerprint"));
    const auto state = io::read_number<unsigned>(from.at("state"));
    constexpr auto last = static_cast<unsigned>(suspicion_state::quarantined);
    // A state of a later release: suspicion is the careful reading of it.
    word.state = state > last ? suspicion_state::suspect
                              : static_cast<suspicion_state>(state);
    word.tester = from.at("tester").get<std::string>();
    word.last_crashed.backend_server =
        from.at("backend_server").get<std::string>();
    word.last_crashed.incarnation =
        io::read_number<std::uint64_t>(from.at("incarnation"));
    word.age = io::read_wait(from.at("age_us"));
    return word;
}

} // namespace

std::vector<std::uint8_t> encode(const std::vector<suspicion_update>& words) {
    json list = json::array();
    for (const auto& word : words) {
        list.push_back(write(word));
    }
    return json::to_cbor(json({{"words", std::move(list)}}));
}

result<std::vector<suspicion_update>>
decode_suspicions(const std::vector<std::uint8_t>& bytes) {
    try {
        std::vector<suspicion_update> words;
        const auto message = io::parse_cbor(bytes.data(), bytes.size());
        for (const auto& item : message.at("words")) {
            words.push_back(read(item));
        }
        return words;
    } catch (const json::exception& problem) {
        return error{error_code::malformed, "decode suspicion", "",
                     problem.what()};
    }
}

} // namespace waxwingvale::entry
