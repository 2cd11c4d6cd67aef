#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>

#include <waxwingvale/model/time.hpp>

// Reading of CBOR that another process wrote. The library's own conversions
// cut a number down to the type asked for, and its parser calls itself for
// each level; here both are refused. All functions throw nlohmann's exception.
namespace waxwingvale::io {

// Parses one whole CBOR item. Nesting is bounded: the parser's stack would
// otherwise overflow on a message of nothing but array heads, which a stranger
// could send in the first frame of a link and end the process.
nlohmann::json parse_cbor(const std::uint8_t* bytes, std::size_t size);

// A whole number from 0 to `most`.
std::uint64_t read_unsigned(const nlohmann::json& from, std::uint64_t most);

// A whole number that the type can hold.
template <typename Number>
Number read_number(const nlohmann::json& from) {
    return static_cast<Number>(
        read_unsigned(from, std::numeric_limits<Number>::max()));
}

// The same for a field that an older release does not send.
template <typename Number>
Number read_number_or(const nlohmann::json& object, const char* field,
                      Number otherwise) {
    const auto found = object.find(field);
    return found == object.end() ? otherwise : read_number<Number>(*found);
}

// Longest wait that a message may name.
constexpr duration wait_limit = std::chrono::hours(24);

// A wait in microseconds. One below zero or without bound would overflow the
// moment that is computed from it.
duration read_wait(const nlohmann::json& from);

// The same for what may lie in the past: below zero it is cut off at the limit.
duration read_urgency(const nlohmann::json& from);

// By how many times something differs from the usual; throws unless it is
// between a hundredth and a hundredfold.
double read_factor(const nlohmann::json& from);

// A rate per second; throws unless it is from 0 to 1e9.
double read_rate(const nlohmann::json& from);

// A list of at most that many items.
const nlohmann::json& read_list(const nlohmann::json& from, std::size_t most);

// How long ago something was, in microseconds; below zero counts as now.
std::int64_t read_age(const nlohmann::json& from);

} // namespace waxwingvale::io
