#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <string>

#include <waxwingvale/model/error.hpp>

namespace waxwingvale::membership {

using packed_text = std::vector<std::uint8_t>;

// The text in fewer bytes (zlib). A configuration of 1,600 routes shrinks to
// about a tenth; every instance gets each one over links of 10 Mbit/s at the
// weakest, and what crosses between data centres is paid for.
packed_text pack(const std::string& text);

// The text again. Errors: malformed bytes, or a text of more than `limit`
// bytes, so that a few bytes cannot make us hold any amount.
result<std::string> unpack(const packed_text& packed, std::size_t limit);

} // namespace waxwingvale::membership
