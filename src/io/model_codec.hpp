#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

#include "io/cbor_reading.hpp"

// Values of the model as they travel between our processes. Each is an array,
// which is the shortest form in CBOR; a newer version adds elements at the
// end, which an older reader passes over. Readers throw nlohmann's exception,
// which decode_guarded() turns into an error.
namespace waxwingvale::io {

nlohmann::json write_member_id(const member_id& value);
member_id read_member_id(const nlohmann::json& from);

nlohmann::json write_member(const member& value);
member read_member(const nlohmann::json& from);

// The moment travels as its age in microseconds.
nlohmann::json write_belief(const backend_belief& value, time_point now);
backend_belief read_belief(const nlohmann::json& from, time_point now);

// Older word is all the same, and must not overflow a moment.
constexpr duration longest_age = std::chrono::hours(24);

// How long ago that was, as it travels.
std::int64_t age_of(time_point moment, time_point now);
// The moment on this process's clock; an age below zero counts as none.
time_point moment_of(std::int64_t age, time_point now);

// An enumerator from its number; throws on one that is not known.
template <typename Enum>
Enum read_enum(const nlohmann::json& from, Enum last) {
    const auto number = read_number<unsigned>(from);
    if (number > static_cast<unsigned>(last)) {
        throw nlohmann::json::other_error::create(
            501, "enumerator out of range", &from);
    }
    return static_cast<Enum>(number);
}

// Parses CBOR and runs `read` on it; what cannot be read is malformed.
template <typename Value, typename Reader>
result<Value> decode_guarded(const std::vector<std::uint8_t>& bytes,
                             const char* step, Reader read) {
    try {
        return read(parse_cbor(bytes.data(), bytes.size()));
    } catch (const nlohmann::json::exception& problem) {
        return error{error_code::malformed, step, "", problem.what()};
    }
}

} // namespace waxwingvale::io
