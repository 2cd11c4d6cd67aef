#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <tuple>

namespace waxwingvale {

// What kind of thing went wrong; callers branch on this, never on the text.
enum class error_code {
    invalid_argument,   // input breaks a documented rule
    not_found,          // nothing has that name
    unavailable,        // the peer cannot be reached or is not ready
    timed_out,          // no answer within the bound
    refused,            // the peer answered and declined
    malformed,          // bytes that do not decode
    unauthenticated,    // the peer did not prove who it is
    resource_exhausted, // a documented limit is reached
    cancelled,          // nobody wants the result any more
    stale,              // the word is older than what is already known
    internal            // a fault of ours
};

// The standard lower-case word for a code, as it appears in logs.
const char* to_string(error_code code);

// An error with the step at which it arose ("connect", "parse settings") and
// the peer it concerns: an address, a file name, or empty when it is local.
struct error {
    error_code code = error_code::internal;
    std::string step;
    std::string peer;
    std::string detail;

    friend bool operator==(const error& a, const error& b) {
        return std::tie(a.code, a.step, a.peer, a.detail) ==
               std::tie(b.code, b.step, b.peer, b.detail);
    }
    friend bool operator!=(const error& a, const error& b) { return !(a == b); }
};

// One line for people: "step peer: code: detail".
std::string to_string(const error& value);

// A value or an error. Reading the absent one throws
// boost::outcome_v2::bad_result_access; check has_value() first.
template <typename Value>
using result = boost::outcome_v2::basic_result<
    Value, error,
    boost::outcome_v2::policy::throw_bad_result_access<error, void>>;

inline auto success() {
    return boost::outcome_v2::success();
}

} // namespace waxwingvale
