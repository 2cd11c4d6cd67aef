#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/decision/key_answer.hpp>
#include <waxwingvale/decision/key_messages.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Names one copy of a request that waits for its answer; the caller of the key
// store chooses it and never uses it twice.
using waiter_id = std::uint64_t;

// Run it now; report the end by on_finished with this attempt number.
struct run_here {
    std::uint64_t attempt = 0;
};

// An attempt is under way, or the holder is being asked: this copy is parked
// and settled later.
struct join_attempt {};

// The request ran; give this copy the same whole answer.
struct replay_answer {
    answer_ptr answer;
};

// The request ran, but its answer was too large to be kept.
struct report_ran {};

// Send the message to `request.to`; this copy is parked and settled later.
// When that member cannot be reached, call on_hand_over_failed at once.
struct ask_peer {
    hand_over_request request;
};

// May have run. Without come_back_in nobody will ever be able to tell.
struct report_unknown {
    std::optional<duration> come_back_in;
};

// The attempt that this copy had joined ended as provably not run; a resend
// may run it.
struct report_not_run {
    duration come_back_in{};
};

// The key was used with another request; this one never ran (422).
struct refuse_mismatch {};

// No room to remember one more key; this request never ran.
struct refuse_full {
    duration come_back_in{};
};

// Older than what the holder remembers: it may have run, and never will.
struct refuse_expired {};

// A key whose holder nobody can tell, or one issued in the future. It never
// ran; make a key with this prefix.
struct refuse_key_form {
    std::string prefix_to_use;
};

using key_decision =
    std::variant<run_here, join_attempt, replay_answer, report_ran, ask_peer,
                 report_unknown, report_not_run, refuse_mismatch, refuse_full,
                 refuse_expired, refuse_key_form>;

// What an answer with this decision states about the request. Not for run_here,
// join_attempt and ask_peer, whose outcome is still open (unknown).
run_outcome outcome_of(const key_decision& decision);

// The standard lower-case word for a decision, as in metrics and histories.
const char* name_of(const key_decision& decision);

// A parked copy and what becomes of it: any decision but join_attempt and
// ask_peer.
struct settled_waiter {
    waiter_id waiter = 0;
    key_decision decision;
};

// What follows from an event: parked copies to settle, messages to send.
struct key_effects {
    std::vector<settled_waiter> settled;
    std::vector<key_message> messages;
};

} // namespace waxwingvale::decision
