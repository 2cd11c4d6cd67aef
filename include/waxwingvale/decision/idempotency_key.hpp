#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// An idempotency key that names the entry instance that records it:
// `<instance>.<incarnation>[-<issued>].<caller id>.<counter>`.
// Callers get everything up to the second dot from the steering answer.
// `issued` is in whole seconds since the start of the holder's incarnation and
// defaults to 0. It determines when the key expires, so that the holder can
// remove the records of old keys and still never run a request twice.
struct idempotency_key {
    member_id holder;
    std::uint64_t issued_s = 0;
    std::string caller;
    std::uint64_t counter = 0;

    friend bool operator==(const idempotency_key& a, const idempotency_key& b) {
        return std::tie(a.holder, a.issued_s, a.caller, a.counter) ==
               std::tie(b.holder, b.issued_s, b.caller, b.counter);
    }
};

// The longest key that is accepted, in bytes.
constexpr std::size_t max_idempotency_key_bytes = 200;

// Parses a key that names its holder. Returns nothing if the text has any other
// form; it is then a plain key without a holder.
std::optional<idempotency_key> parse_idempotency_key(const std::string& text);

// Returns the prefix to be given to callers for a holder that has been running
// for `age`. A wrong age can only make keys expire early or be refused; it
// cannot make a request run twice, because only the holder evaluates the issue
// time, and it uses its own monotonic clock.
std::string key_prefix(const member_id& holder, duration age);

// Combines a plain key with the prefix that its caller sends in the header
// Waxwing-Key-Prefix into a key that names its holder. The caller must send the
// same prefix with every copy. Bytes of the plain key other than letters,
// digits and '-' are escaped as '_' and two hexadecimal digits.
std::string prefixed_key(const std::string& prefix, const std::string& plain);

} // namespace waxwingvale::decision
