#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

using link_bytes = std::vector<std::uint8_t>;

// What one websocket message between our processes holds, as a CBOR map.
// Fields that a reader does not know are passed over, so that a newer version
// may add some. The three opening frames are not tagged; all others are.
struct link_frame {
    std::string kind;           // "hello", "challenge", "proof", or a message's
    std::uint64_t sequence = 0; // place among the sender's tagged frames
    link_bytes payload;         // the message; in opening frames the proof
    std::string name;           // opening frames only: the sender
    std::string nonce;          // opening frames only
};

constexpr unsigned link_frame_version = 1;

link_bytes encode_link_frame(const link_frame& frame);

// Fails with malformed on bytes that are no frame of a known version.
result<link_frame> decode_link_frame(const std::uint8_t* bytes,
                                     std::size_t size);

} // namespace waxwingvale::io
