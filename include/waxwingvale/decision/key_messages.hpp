#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/key_answer.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// Asks the entry instance that holds a key to hand over the right to run it.
// The requester chooses hand_over_id. Every repetition of a request carries the
// same id; after the requester has handed the right over to another member, its
// next request gets a new id. Because a grant is valid only for its id,
// repeated, late or duplicated grants do no harm.
struct hand_over_request {
    member_id from;
    member_id to;
    std::string key;
    request_fingerprint fingerprint;
    std::uint64_t hand_over_id = 0;
};

// The kinds of reply to a hand-over request. There is no "not run": the request
// could run between the sending of such a reply and its arrival. Only a grant
// proves that the request did not run, because it also transfers the right to
// run it.
enum class hand_over_kind {
    granted,   // did not run; the requester now has the right to run it
    in_flight, // an attempt is in progress; another reply reports its end
    answered,  // ran; the answer is attached unless it was too large to store
    moved,     // handed over to another member before; ask that member
    unknown,   // may have run, or the outcome cannot be determined now
    mismatch,  // the key was used with a different request
    expired    // the key is older than the holder's records
};

const char* to_string(hand_over_kind kind);

// The reply to a hand_over_request.
struct hand_over_reply {
    member_id from;
    member_id to;
    std::string key;
    std::uint64_t hand_over_id = 0;
    hand_over_kind kind = hand_over_kind::unknown;
    answer_ptr answer;  // if answered; null if it was too large to store
    member_id moved_to; // if moved
};

// A message between the key stores of two members.
using key_message = std::variant<hand_over_request, hand_over_reply>;

} // namespace waxwingvale::decision
