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
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

// What a service_scheduler is told. Peers are member names, without role.
namespace waxwingvale::decision {

// A request's number within one entry instance; free again once it finished.
using request_id = std::uint64_t;

// A grant's number, chosen by the owner that gives it; unique over the
// owner's incarnations.
using grant_id = std::uint64_t;

// How one attempt on a backend server ended.
enum class attempt_verdict {
    answered,        // a whole answer, whatever it says of the request
    failed,          // an answer that blames the backend server (5xx)
    shed,            // refused before starting
    connect_refused, // no connection could be opened
    died,            // the connection broke after the request was sent
    timed_out,       // no answer by the deadline
    cancelled        // given up by the caller or by us
};

// The view changed: configuration, members, owners or beliefs. Whole each
// time; what it no longer names is forgotten. When its configuration does not
// name the service itself, what waits is refused and all else stays.
struct view_changed {
    configuration_ptr config;
    std::vector<member> members;
    ownership owners;
    std::vector<backend_belief> beliefs;
    // False while the view may be old (just started, woken late): requests
    // that must not run twice then wait until it is fresh.
    bool fresh = true;
    // False while it is not known which other instances there are: others may
    // use the same backend servers.
    bool introduced = true;
};

// Whether messages to that peer arrive. Peers never named are out of reach.
struct peer_reachability {
    std::string peer;
    bool reachable = false;
};

// What a request wants of a slot, wherever it waits.
struct request_needs {
    std::string tenant;
    std::string request_class;
    request_nature nature = request_nature::at_most_once;
    unsigned priority = 0; // 0 goes first when slots are short
    unsigned attempt = 1;
    std::vector<std::string> excluded; // backend servers not to be used
    // Only backend servers of these data centres; none: of all.
    std::optional<std::vector<std::string>> data_centres{};
    // True for a suspect of having crashed a backend server: it runs only
    // where nothing else runs.
    bool isolated = false;
    // True for a hedge: it starts now on a slot that nobody waits for, or is
    // refused.
    bool only_if_spare = false;
};

// A request, or a further attempt of one that finished, wants a slot.
struct request_arrived : request_needs {
    request_id request = 0;
    time_point deadline{};
    // Until then an answer is worth most; none: at any time before the
    // deadline alike.
    std::optional<time_point> target;
};

// A request that waits at a peer, as the peer tells of it.
struct waiting_request : request_needs {
    request_id request = 0; // the peer's number
    duration time_left{};   // until the deadline
    std::optional<duration> target_left;
};

// A started request ended; its slot is free.
struct request_finished {
    request_id request = 0;
    attempt_verdict verdict = attempt_verdict::answered;
    duration service_time{}; // from sent to answered; zero when not answered
    std::optional<backend_load> load; // as the answer told it
    std::size_t answer_bytes = 0;
};

// The caller went away. A waiting request is dropped without an action; one
// that was started still ends with request_finished.
struct request_cancelled {
    request_id request = 0;
};

// A peer has requests for which it has no slots.
struct slots_asked {
    std::string peer;
    std::vector<waiting_request> waiting;
    std::vector<request_id> withdrawn;
    // True: what the peer named before and does not name now waits no longer.
    bool whole = false;
    // True: the peer wants an answer although no request of it waits. It did
    // not get one, or that we own nothing, and asks until we do.
    bool wants_word = false;
};

// A request that an owner will not find a slot for in time.
struct declined_request {
    request_id request = 0;
    duration come_back_in{}; // when it may be tried again
};

// An owner's answer to an ask that it met with no grant.
struct ask_answered {
    std::string peer;
    unsigned idle = 0;    // free slots it has left
    bool is_owner = true; // false: it hands out no slots
    std::vector<declined_request> declined;
};

// An owner lets us use one slot for that request, once, until the lease ends.
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
};

// A peer no longer needs the slot: its request ended, or, without a use,
// nothing was started.
struct grant_returned {
    std::string peer;
    grant_id grant = 0;
    std::optional<grant_use> use;
};

// A probe of a backend server ended.
struct probe_ended {
    std::string backend_server;
    bool answered = false;              // false: silent, or not reached
    std::optional<backend_load> load;   // as the answer told it
    std::optional<duration> cold_for{}; // how much longer it is cold
};

// Time passed; sent at the moment asked for by wake_at, or whenever.
struct time_passed {};

using scheduler_event =
    std::variant<view_changed, peer_reachability, request_arrived,
                 request_finished, request_cancelled, slots_asked, ask_answered,
                 grant_received, grant_returned, probe_ended, time_passed>;

bool operator==(const waiting_request& a, const waiting_request& b);
bool operator==(const declined_request& a, const declined_request& b);
bool operator==(const grant_use& a, const grant_use& b);

} // namespace waxwingvale::decision
