#pragma once

#include <cstdint>
#include <vector>

#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// The kind under which word about crashing requests travels between entry
// processes.
constexpr const char* suspicion_kind = "suspicion";

std::vector<std::uint8_t>
encode(const std::vector<decision::suspicion_update>& words);

// Fails with malformed on bytes that are no such words.
result<std::vector<decision::suspicion_update>>
decode_suspicions(const std::vector<std::uint8_t>& bytes);

} // namespace waxwingvale::entry
