#pragma once

#include <cstdint>
#include <vector>

#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/decision/suspicion_audience.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// The kind under which word about crashing requests travels between entry
// processes.
constexpr const char* suspicion_kind = "suspicion";

struct suspicion_message {
    std::vector<decision::suspicion_update> words;
    decision::suspicion_reach reach;
    // Whether the sender wants to be told all that is known.
    bool asks = false;
};

std::vector<std::uint8_t> encode(const suspicion_message& message);

// Fails with malformed on bytes that are no such message.
result<suspicion_message>
decode_suspicions(const std::vector<std::uint8_t>& bytes);

} // namespace waxwingvale::entry
