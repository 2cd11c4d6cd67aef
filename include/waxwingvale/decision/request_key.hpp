#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// A request key that names where it is remembered:
// `<instance>.<incarnation>[-<issued>].<caller id>.<counter>`.
// The callers get everything up to the second dot from the steering answer.
// `issued` counts whole seconds since the holder's incarnation began; without
// it the key counts as issued at the start. It says until when the key is
// good, which lets the holder forget old keys and still never run one twice.
struct request_key {
    member_id holder;
    std::uint64_t issued_s = 0;
    std::string caller;
    std::uint64_t counter = 0;

    friend bool operator==(const request_key& a, const request_key& b) {
        return std::tie(a.holder, a.issued_s, a.caller, a.counter) ==
               std::tie(b.holder, b.issued_s, b.caller, b.counter);
    }
};

// The longest key that is accepted, in bytes.
constexpr std::size_t max_request_key_bytes = 200;

// The parts of a key with a prefix, or nothing when the text has another
// shape: a plain key, whose holder nobody can tell.
std::optional<request_key> parse_request_key(const std::string& text);

// The prefix to hand to callers for a holder that has been running for `age`.
// An age that is off only shortens or refuses keys, it never makes one run
// twice: the holder alone judges it, by its own monotonic clock.
std::string key_prefix(const member_id& holder, duration age);

// A plain key made a named one by the prefix that its caller sends beside it
// in the header Waxwing-Key-Prefix; the caller sends the same prefix with
// every copy. The plain key's bytes that are not letters, digits or '-' are
// escaped as '_' and two hexadecimal digits.
std::string join_key(const std::string& prefix, const std::string& plain);

} // namespace waxwingvale::decision
