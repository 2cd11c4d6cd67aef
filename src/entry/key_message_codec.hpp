#pragma once

#include <cstdint>
#include <vector>

#include <waxwingvale/decision/key_messages.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// The kind under which key messages travel between entry processes.
constexpr const char* key_kind = "key";

std::vector<std::uint8_t> encode(const decision::key_message& message);

// Fails with malformed on bytes that are no key message.
result<decision::key_message>
decode_key_message(const std::vector<std::uint8_t>& bytes);

} // namespace waxwingvale::entry
