#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/backend_load.hpp>
#include <waxwingvale/model/backend_terms.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

// The events that a service_scheduler handles. Peers are given by member name,
// whatever their role.
namespace waxwingvale::decision {

// Number of a request within one entry instance. It may be reused once the
// request has finished.
using request_id = std::uint64_t;

// Number of a grant, chosen by the owner that gives it. Unique across all
// incarnations of that owner.
using grant_id = std::uint64_t;

// How one attempt on a backend server ended.
enum class attempt_verdict {
    answered,        // a complete answer other than a server error
    failed,          // an answer that reports a server error (5xx)
    shed,            // refused by the backend server before starting
    connect_refused, // no connection could be opened
    died,            // the connection broke after the request was sent
    timed_out,       // no answer by the deadline
    cancelled        // cancelled by the caller or by this instance
};

// The view changed: configuration, members, owners or beliefs. Each event
// carries the complete view; state of anything it no longer names is dropped.
// If its configuration does not name the service itself, queued requests are
// refused and all other state is kept.
struct view_changed {
    configuration_ptr config;
    std::vector<member> members;
    ownership owners;
    std::vector<backend_belief> beliefs;
    // False while the view may be stale, because the process has just started
    // or woke up late. Requests that must not run twice are then refused.
    bool fresh = true;
    // False while the other instances are unknown, so that instances not in
    // `members` may use the same backend servers.
    bool members_known = true;
};

// Whether messages reach the peer. A peer without any such event counts as
// unreachable.
struct peer_reachability {
    std::string peer;
    bool reachable = false;
};

// The requirements of a request that matter for choosing its slot, both on the
// instance where it waits and on the owner that is asked for a slot.
struct request_needs {
    std::string tenant;
    std::string request_class;
    request_nature nature = request_nature::at_most_once;
    unsigned priority = 0; // 0 is the highest
    unsigned attempt = 1;
    std::vector<std::string> excluded; // backend servers not to be used
    // Data centres whose backend servers may be used; none: all may.
    std::optional<std::vector<std::string>> data_centres{};
    // True for a request suspected of having crashed a backend server: it runs
    // only on a server that runs nothing else.
    bool isolated = false;
    // True for a hedge: it either starts at once on a slot that no queued
    // request needs, or is refused.
    bool only_if_spare = false;
};

// A request, or a further attempt of a request, needs a slot.
struct request_arrived : request_needs {
    request_id request = 0;
    time_point deadline{};
    // The answer has its full value up to this time and less afterwards; none:
    // the full value up to the deadline.
    std::optional<time_point> target;
};

// A request queued at a peer, as the peer describes it.
struct waiting_request : request_needs {
    request_id request = 0;              // as numbered by the peer
    duration time_left{};                // until the deadline
    std::optional<duration> target_left; // until the target, negative after it
    // Whether the peer has paid for it, if it is a repeated attempt.
    bool repeat_paid = false;
};

// A started request ended; its slot is free again.
struct request_finished {
    request_id request = 0;
    attempt_verdict verdict = attempt_verdict::answered;
    duration service_time{}; // from sending to the answer; zero without one
    std::optional<backend_load> load; // as reported with the answer
    std::size_t answer_bytes = 0;
    std::optional<backend_terms> terms{}; // as stated with the answer
    // False if this process stood still for a part of the service time, so
    // that the answer may have waited.
    bool time_known = true;
};

// The head of the answer to a started request arrived; the rest follows.
struct answer_begun {
    request_id request = 0;
    backend_terms terms;
};

// The caller went away. A queued request is dropped without an action. For a
// started request, request_finished still follows.
struct request_cancelled {
    request_id request = 0;
};

// A peer asks for slots for requests that it cannot start itself.
struct slots_asked {
    std::string peer;
    std::vector<waiting_request> waiting;
    std::vector<request_id> withdrawn;
    // True if `waiting` replaces everything that the peer named before: other
    // requests of the peer no longer need a slot from this instance.
    bool complete = false;
    // True if the peer expects an answer even with no request queued. The peer
    // got no answer before, or the answer that this instance is no owner, and
    // asks again until this instance acts as an owner.
    bool answer_required = false;
};

// A request for which an owner will not have a slot in time.
struct declined_request {
    request_id request = 0;
    duration retry_after{}; // time after which it may be sent again
};

// Answer of a peer that was asked for slots and granted none.
struct ask_answered {
    std::string peer;
    unsigned idle = 0;    // free slots that the peer has left
    bool is_owner = true; // false: the peer owns no slots of this service
    std::vector<declined_request> declined;
};

// An owner grants one slot for the given request, to be used once and before
// the lease ends.
struct grant_received {
    std::string peer;
    grant_id grant = 0;
    request_id request = 0;
    std::string backend_server;
    duration lease{};
    duration slow_after{}; // as in start_request
};

// How a granted slot was used.
struct grant_use {
    attempt_verdict verdict = attempt_verdict::answered;
    duration service_time{};
    std::optional<backend_load> load;
    std::size_t answer_bytes = 0;
    std::optional<backend_terms> terms{};
    bool time_known = true; // see request_finished
};

// A peer returned a granted slot: its request ended, or, if `use` is empty,
// nothing was started on it.
struct grant_returned {
    std::string peer;
    grant_id grant = 0;
    std::optional<grant_use> use;
};

// A peer asks for a part of this instance's budget of repeated attempts.
struct repeats_asked {
    std::string peer;
    std::uint64_t round = 0; // as numbered by the peer
    double wanted = 0;       // repeated attempts
};

// A peer answers a question for repeated attempts. It has given up those that
// it gives.
struct repeats_given {
    std::string peer;
    std::uint64_t round = 0; // of the question
    double amount = 0;
};

// A probe is sent to a backend server.
struct probe_started {
    std::string backend_server;
};

// A probe of a backend server ended.
struct probe_ended {
    std::string backend_server;
    bool answered = false; // false: not reached, or no answer in time
    std::optional<backend_load> load;     // as reported with the answer
    std::optional<duration> cold_for{};   // remaining time of its cold start
    std::optional<backend_terms> terms{}; // as stated with the answer
};

// Time passed. Sent at the time given by wake_at; harmless at any other time.
struct time_passed {};

using scheduler_event =
    std::variant<view_changed, peer_reachability, request_arrived, answer_begun,
                 request_finished, request_cancelled, slots_asked, ask_answered,
                 grant_received, grant_returned, repeats_asked, repeats_given,
                 probe_started, probe_ended, time_passed>;

bool operator==(const waiting_request& a, const waiting_request& b);
bool operator==(const declined_request& a, const declined_request& b);
bool operator==(const grant_use& a, const grant_use& b);

} // namespace waxwingvale::decision
