#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/key_answer.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// Asks the entry instance that remembers a key to hand it over. The ask id is
// the asker's own number for this asking: the same on every copy of it, and
// fresh once the asker has given the right to run away again. It is what makes
// a repeated, late or doubled grant harmless.
struct hand_over_request {
    member_id from;
    member_id to;
    std::string key;
    request_fingerprint fingerprint;
    std::uint64_t ask_id = 0;
};

// There is no "not run" among them: it would be true when sent and could be
// false when it arrives, since the key may have run in between. Only a grant
// proves that a key never ran, and it moves the right to run it along.
enum class hand_over_kind {
    granted,   // never run; the right to run it has moved to the asker
    in_flight, // an attempt is under way; its end is sent when it comes
    answered,  // ran; the whole answer is attached
    moved,     // handed to another member before; ask there
    unknown,   // may have run, or cannot be told now
    mismatch,  // the key was used with another request
    expired    // older than what the holder remembers
};

const char* to_string(hand_over_kind kind);

// The answer to a hand_over_request.
struct hand_over_reply {
    member_id from;
    member_id to;
    std::string key;
    std::uint64_t ask_id = 0;
    hand_over_kind kind = hand_over_kind::unknown;
    answer_ptr answer;  // with answered; null when it was too large to keep
    member_id moved_to; // with moved
};

// What a key store sends to another member's key store.
using key_message = std::variant<hand_over_request, hand_over_reply>;

} // namespace waxwingvale::decision
