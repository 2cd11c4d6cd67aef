#pragma once

#include <cstdint>
#include <vector>

#include <waxwingvale/membership/exchange_message.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

// The messages between entry instances as CBOR. Which of them one is
// goes along as the link's kind.
namespace waxwingvale::io {

// The kinds, in the order of exchange_message's alternatives.
constexpr const char* exchange_kinds[] = {
    "digest", "records", "revision", "want", "file", "word", "ask"};

const char* kind_of(const membership::exchange_message& message);

std::vector<std::uint8_t>
encode_exchange(const membership::exchange_message& message, time_point now);

// Fails with malformed, also on a kind that is not among them.
result<membership::exchange_message>
decode_exchange(const std::string& kind, const std::vector<std::uint8_t>& bytes,
                time_point now);

} // namespace waxwingvale::io
