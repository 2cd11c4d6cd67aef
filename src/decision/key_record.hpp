#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/key_answer.hpp>
#include <waxwingvale/decision/key_decision.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// The state of a key in one store. In the first four states this member has the
// right to run the request or knows the outcome; in the last three it does not.
enum class key_state : std::uint8_t {
    idle,          // this member may run it; it did not run
    running,       // an attempt of this member is in flight
    answered,      // it ran; the answer is known
    unknown,       // an attempt of this member may have run it
    requesting,    // a hand-over request to another member is in progress
    request_ended, // a hand-over request ended without a grant
    moved          // handed over to another member
};

// The sender of a hand-over request, and the id of the request. A grant is
// valid only for this pair.
struct hand_over_requester {
    member_id member;
    std::uint64_t hand_over_id = 0;

    friend bool operator==(const hand_over_requester& a,
                           const hand_over_requester& b) {
        return std::tie(a.member, a.hand_over_id) ==
               std::tie(b.member, b.hand_over_id);
    }
};

// The part of a record that only keys in flight or handed over need. Most keys
// have none, which keeps their records small.
struct key_record_details {
    std::vector<waiter_id> waiters; // copies parked at this member
    // Members that were told "in flight".
    std::vector<hand_over_requester> requesters;
    // The tombstone: to whom the right to run the request was handed over.
    std::optional<hand_over_requester> granted_to;
    member_id peer; // the member that is asked for a hand-over
    std::uint64_t hand_over_id =
        0;                  // of the hand-over request; 0: none sent yet
    unsigned redirects = 0; // followed in the current hand-over request
};

// The record of one key.
struct key_record {
    key_state state = key_state::idle;
    bool own = true; // whether the key names this member
    request_fingerprint fingerprint;
    std::uint64_t attempt = 0; // id of the latest attempt
    std::int64_t lifetime_start_s = 0;
    answer_ptr answer;
    std::unique_ptr<key_record_details> details;

    key_record_details& ensure_details() {
        if (!details) {
            details = std::make_unique<key_record_details>();
        }
        return *details;
    }
    // Whether this member has handed the key over and not received it back.
    bool handed_over() const { return details && details->granted_to; }
    bool in_flight() const {
        return state == key_state::running || state == key_state::requesting;
    }
};

} // namespace waxwingvale::decision
