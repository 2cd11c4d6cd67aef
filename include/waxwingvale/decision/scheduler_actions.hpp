#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/model/time.hpp>

// What a service_scheduler wants done. Peers are member names, without role.
namespace waxwingvale::decision {

// Why a request was refused; in every case it was not run.
enum class refusal_reason {
    no_backend_server, // all are leaving, dead or excluded
    queue_full,        // its class has as many waiting as the file allows
    too_late,          // it would complete past its deadline
    stale_view,        // must not run twice, and the view is not fresh
    no_spare_slot,     // a hedge, and no slot is spare
    retry_budget       // the service has had its share of repeated attempts
};

// The lower-case word for a reason, as it appears in metrics.
const char* to_string(refusal_reason reason);

// Send the request to that backend server now. With from_peer the slot is
// another owner's; the scheduler itself gives it back when it finished.
struct start_request {
    request_id request = 0;
    std::string backend_server;
    std::string from_peer; // empty: an own slot
    grant_id grant = 0;
    // After which its answer is slow to come, as far as is known of how long
    // it takes there; zero: nothing is.
    duration slow_after{};
};

// Answer "not run" now; the caller may come back after that time.
struct refuse_request {
    request_id request = 0;
    refusal_reason reason = refusal_reason::too_late;
    duration come_back_in{};
    std::string declined_by; // the owner that had no slot; empty: this one
};

// The deadline passed while the request waited: answer "not run" now.
struct expire_request {
    request_id request = 0;
};

// To a peer: slots_asked.
struct ask_slots {
    std::string peer;
    std::vector<waiting_request> waiting;
    std::vector<request_id> withdrawn;
    bool whole = false;
    bool wants_word = false;
};

// To a peer: ask_answered.
struct answer_ask {
    std::string peer;
    unsigned idle = 0;
    bool is_owner = true;
    std::vector<declined_request> declined;
};

// To a peer: grant_received.
struct give_grant {
    std::string peer;
    grant_id grant = 0;
    request_id request = 0;
    std::string backend_server;
    duration lease{};
    duration slow_after{};
};

// To a peer: grant_returned.
struct return_grant {
    std::string peer;
    grant_id grant = 0;
    std::optional<grant_use> use;
};

// Send time_passed at that moment; replaces an earlier wish.
struct wake_at {
    time_point when{};
};

using scheduler_action =
    std::variant<start_request, refuse_request, expire_request, ask_slots,
                 answer_ask, give_grant, return_grant, wake_at>;

bool operator==(const start_request& a, const start_request& b);
bool operator==(const refuse_request& a, const refuse_request& b);
bool operator==(const expire_request& a, const expire_request& b);
bool operator==(const ask_slots& a, const ask_slots& b);
bool operator==(const answer_ask& a, const answer_ask& b);
bool operator==(const give_grant& a, const give_grant& b);
bool operator==(const return_grant& a, const return_grant& b);
bool operator==(const wake_at& a, const wake_at& b);

} // namespace waxwingvale::decision
