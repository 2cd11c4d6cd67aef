#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/entry/caller_call.hpp>
#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/forwarding/caller_exchange.hpp>
#include <waxwingvale/kernel/memory_account.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>
#include <waxwingvale/program/metrics.hpp>

#include "entry/call_story.hpp"
#include "entry/long_body.hpp"

namespace waxwingvale::entry {

// An attempt that is on its way to a backend server. A hedge is known to the
// scheduler by a number of its own.
struct running_attempt {
    decision::request_id id = 0;
    std::string backend_server;
    forwarding::backend_pool::call_id call = 0;
    time_point started{};
    std::string granted_by; // the owner whose slot it is; empty: an own slot
    duration slow_after{};  // when its answer is slow to come
    // The start of the server that it was sent to, as far as known then.
    backend_incarnation incarnation = 0;
    // See kernel::lateness_meter::held_up(), when it was sent.
    duration held_up_before{};
};

// A request on its way through another instance, while this one is partitioned
// from the backend servers.
struct running_detour {
    std::string instance;
    forwarding::backend_pool::call_id call = 0;
    time_point started{};
};

// A key's right to run, held by this call until its outcome is reported.
struct held_key {
    std::string key;
    std::uint64_t attempt = 0;
};

// What is sent to backend servers of a caller's request.
struct request_content {
    std::string method;
    std::string target;
    std::string host;         // as the caller named it; empty: it did not
    std::string authority;    // what the target is relative to
    io::http_headers headers; // end to end
    std::shared_ptr<const std::string> body; // null: none
    std::shared_ptr<long_body> more_body;    // null: `body` is the whole of it
    std::optional<std::uint64_t> body_length;
};

// A caller's request from its arrival to its answer.
struct call_record {
    call_record(decision::request_id number,
                forwarding::caller_exchange_ptr from)
        : id(number), caller(std::move(from)) {}

    decision::request_id id;
    forwarding::caller_exchange_ptr caller;
    request_content content;
    program::call_labels labels; // tenant, service and class
    request_class kind;
    std::string request_id; // the caller's name for it, for logs
    decision::request_fingerprint fingerprint;
    time_point arrived{};
    time_point deadline{};
    std::optional<time_point> target; // an answer is worth most until then
    unsigned attempts_above = 0;      // retries that callers of the caller made
    unsigned attempts_here = 0;       // hedges not counted
    std::vector<std::string> excluded; // backend servers that failed it
    std::optional<held_key> key;
    bool nested = false; // the caller is itself serving a call
    bool alone = false;  // its attempt is the trial of a suspect
    bool hedged = false;
    // Served for this partitioned instance; empty: for a caller of our own.
    std::string detoured_for;
    bool answering = false;  // a long answer is on its way to the caller
    std::size_t relayed = 0; // bytes of it so far
    std::optional<running_attempt> running;
    std::optional<running_attempt> hedge;
    std::optional<running_detour> detour;
    std::set<std::string> detours_tried; // instances that did not take it
    bool waits_for_check = false; // whether backend servers can be reached
    decision::request_id hedge_waiting = 0; // for a slot; 0: none is
    kernel::timer_service::subscription hedge_timer;
    kernel::timer_service::subscription silence_timer;
    kernel::timer_service::subscription leave_timer; // see leave_servers()
    kernel::timer_service::subscription deadline_timer;
    // What earlier attempts leave open: a read that got lost once is not
    // "not run" when its next attempt is refused.
    run_outcome earlier = run_outcome::not_run;
    call_story story;
    kernel::memory_charge held; // by its content

    // Whether its class allows one more backend server. Each is counted that
    // was sent the request, hedges too.
    bool may_reach_another() const {
        const auto reached = attempts_here + (hedged ? 1U : 0U);
        return kind.max_attempts == 0 || reached < kind.max_attempts;
    }
    // Nothing has been sent for it, nor is it in a queue of slots.
    bool is_elsewhere() const { return detour || waits_for_check; }
    bool may_run_again() const {
        return kind.nature == request_nature::retriable && !content.more_body;
    }
};

} // namespace waxwingvale::entry
