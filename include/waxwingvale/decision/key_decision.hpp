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

// Identifies one copy of a request. The user of the key store chooses the id
// and never reuses it.
using waiter_id = std::uint64_t;

// Run the request now, and report the end of this attempt to
// key_store::on_finished.
struct run_here {
    std::uint64_t attempt = 0;
};

// An attempt or a hand-over request is in progress. This copy is parked and
// settled later.
struct join_attempt {};

// The request ran; send this copy the same answer.
struct replay_answer {
    answer_ptr answer;
};

// The request ran, but its answer was too large to be stored.
struct report_ran {};

// Send the message to `request.to`. This copy is parked and settled later.
// If that member cannot be reached, call key_store::on_hand_over_failed at
// once.
struct ask_peer {
    hand_over_request request;
};

// The request may have run. Without retry_after its outcome can never be
// determined.
struct report_unknown {
    std::optional<duration> retry_after;
};

// The attempt that this copy had joined provably did not run. A resend may run
// the request.
struct report_not_run {
    duration retry_after{};
};

// The key was used with a different request before. This request did not run
// (status 422).
struct refuse_mismatch {};

// The key store has no room for another key or answer. This request did not
// run.
struct refuse_full {
    duration retry_after{};
};

// The key is older than the records of its holder. The request may have run
// before and will not run again.
struct refuse_expired {};

// The key names no holder, or its issue time lies in the future. The request
// did not run; the caller may send a key that begins with this prefix.
struct refuse_key_form {
    std::string prefix_to_use;
};

using key_decision =
    std::variant<run_here, join_attempt, replay_answer, report_ran, ask_peer,
                 report_unknown, report_not_run, refuse_mismatch, refuse_full,
                 refuse_expired, refuse_key_form>;

// Returns the outcome that an answer with this decision states. For run_here,
// join_attempt and ask_peer, whose outcome is still open, it is `unknown`.
run_outcome outcome_of(const key_decision& decision);

// Returns the lower-case name of a decision in metrics and histories.
const char* name_of(const key_decision& decision);

// The decision for a parked copy: any but join_attempt and ask_peer.
struct settled_waiter {
    waiter_id waiter = 0;
    key_decision decision;
};

// What the user of a key store must do after an event: settle parked copies
// and send messages.
struct key_effects {
    std::vector<settled_waiter> settled;
    std::vector<key_message> messages;
};

} // namespace waxwingvale::decision
