#pragma once

#include <cstdint>
#include <vector>

#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// The kind of the messages below.
inline constexpr const char* reach_kind = "backend_reach";

// A question to a peer whether backend servers answer it, or its word that they
// do; it does not say that they don't. The round is the asker's.
struct reach_message {
    std::uint64_t round = 0;
    bool asks = false;
};

std::vector<std::uint8_t> encode(const reach_message& message);
result<reach_message>
decode_reach_message(const std::vector<std::uint8_t>& bytes);

} // namespace waxwingvale::entry
