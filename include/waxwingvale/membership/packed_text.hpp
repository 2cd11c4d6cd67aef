#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/model/error.hpp>

namespace waxwingvale::membership {

using packed_text = std::vector<std::uint8_t>;

// The text in fewer bytes (zlib): a made-up configuration of 1,600 routes with
// random names shrinks from 294 to 44 kB. Every instance gets each file over
// links of 10 Mbit/s at the weakest, and what crosses between data centres is
// paid for. Throws std::bad_alloc.
packed_text pack(const std::string& text);

// The text again. Errors: malformed bytes, or a text of more than `limit`
// bytes, so that a few bytes cannot make us hold any amount.
result<std::string> unpack(const packed_text& packed, std::size_t limit);

} // namespace waxwingvale::membership
