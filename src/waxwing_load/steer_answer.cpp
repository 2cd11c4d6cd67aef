#include "waxwing_load/steer_answer.hpp"

#include <nlohmann/json.hpp>

namespace waxwingvale::load {

result<steer_answer> decode_steer_answer(const std::string& body,
                                         const std::string& peer) {
    const auto malformed = [&](const std::string& detail) {
        return error{error_code::malformed, "decode addresses", peer, detail};
    };
    try {
        const auto document = nlohmann::json::parse(body);
        steer_answer answer;
        for (const auto& each : document.at("addresses")) {
            answer.addresses.push_back({each.at("host").get<std::string>(),
                                        each.at("port").get<std::uint16_t>()});
        }
        answer.keep =
            std::chrono::milliseconds(document.at("keep_ms").get<long>());
        answer.key_prefix = document.at("key_prefix").get<std::string>();
        if (answer.addresses.empty()) {
            return malformed("no addresses");
        }
        return answer;
    } catch (const nlohmann::json::exception& failure) {
        return malformed(failure.what());
    }
}

} // namespace waxwingvale::load
