#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/model/time.hpp>

// The actions that a service_scheduler returns. Peers are given by member name,
// whatever their role.
namespace waxwingvale::decision {

// Why a request was refused. A refused request was not run.
enum class refusal_reason {
    no_backend_server, // all are leaving, dead, excluded or at rest
    queue_full,        // the configured queue limit of its class is reached
    too_late,          // it would complete after its deadline
    stale_view,        // it must not run twice, and the view may be stale
    no_spare_slot,     // it may use a spare slot only, and there is none
    retry_budget       // the service has used up its repeated attempts
};

// The lower-case word for a reason, as it appears in metrics.
const char* to_string(refusal_reason reason);

// Send the request to the given backend server now. If from_peer is set, the
// slot is leased from that peer; the scheduler returns it by itself when the
// request finishes.
struct start_request {
    request_id request = 0;
    std::string backend_server;
    std::string from_peer; // empty: the slot is not leased from a peer
    grant_id grant = 0;
    // Time after the start from which the answer counts as slow, given the
    // expected service time on this server; zero: unknown.
    duration slow_after{};
};

// Answer "not run" now. The caller may send the request again after
// retry_after.
struct refuse_request {
    request_id request = 0;
    refusal_reason reason = refusal_reason::too_late;
    duration retry_after{};
    // The owner that declined to grant a slot; empty: refused by this instance.
    std::string declined_by;
    // What a request of this class is thought to take, at most as a rule;
    // zero: refused for another reason than too_late.
    duration expected_time{};
};

// The deadline passed while the request was queued: answer "not run" now.
struct expire_request {
    request_id request = 0;
};

// Ask a peer for slots. It receives slots_asked.
struct ask_slots {
    std::string peer;
    std::vector<waiting_request> waiting;
    std::vector<request_id> withdrawn;
    bool complete = false;
    bool answer_required = false;
};

// Answer a peer that asked for slots. It receives ask_answered.
struct answer_ask {
    std::string peer;
    unsigned idle = 0;
    bool is_owner = true;
    std::vector<declined_request> declined;
};

// Grant a slot to a peer. It receives grant_received.
struct give_grant {
    std::string peer;
    grant_id grant = 0;
    request_id request = 0;
    std::string backend_server;
    duration lease{};
    duration slow_after{};
};

// Return a granted slot to its owner. The owner receives grant_returned.
struct return_grant {
    std::string peer;
    grant_id grant = 0;
    std::optional<grant_use> use;
};

// Ask a peer for a part of its budget of repeated attempts. It receives
// repeats_asked.
struct ask_repeats {
    std::string peer;
    std::uint64_t round = 0;
    double wanted = 0;
};

// Give a peer repeated attempts, or none. It receives repeats_given.
struct give_repeats {
    std::string peer;
    std::uint64_t round = 0;
    double amount = 0;
};

// Send time_passed at the given time. Replaces any earlier wake_at.
struct wake_at {
    time_point when{};
};

using scheduler_action =
    std::variant<start_request, refuse_request, expire_request, ask_slots,
                 answer_ask, give_grant, return_grant, ask_repeats,
                 give_repeats, wake_at>;

bool operator==(const start_request& a, const start_request& b);
bool operator==(const refuse_request& a, const refuse_request& b);
bool operator==(const expire_request& a, const expire_request& b);
bool operator==(const ask_slots& a, const ask_slots& b);
bool operator==(const answer_ask& a, const answer_ask& b);
bool operator==(const give_grant& a, const give_grant& b);
bool operator==(const return_grant& a, const return_grant& b);
bool operator==(const ask_repeats& a, const ask_repeats& b);
bool operator==(const give_repeats& a, const give_repeats& b);
bool operator==(const wake_at& a, const wake_at& b);

} // namespace waxwingvale::decision
