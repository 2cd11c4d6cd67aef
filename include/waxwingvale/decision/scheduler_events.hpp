#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/model/backend_belief.hpp>
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
// time; what it no longer names is forgotten.
struct view_changed {
    configuration_ptr config;
    std::vector<member> members;
    ownership owners;
    std::vector<backend_belief> beliefs;
    // False while the view may be old (just started, woken late): requests
    // that must not run twice then wait until it is fresh.
    bool fresh = true;
};

// Whether messages to that peer arrive. Peers never named are out of reach.
struct peer_reachability {
    std::string peer;
    bool reachable = false;
};

// A request, or a further attempt of one that finished, wants a slot.
struct request_arrived {
    request_id request = 0;
    std::string tenant;
    std::string request_class;
    request_nature nature = request_nature::at_most_once;
    time_point deadline{};
    unsigned attempt = 1;
    std::vector<std::string> excluded; // backend servers not to be used
    // True for a suspect of having crashed a backend server: it runs only
    // where nothing else of the owner's runs.
    bool isolated = false;
    // True for a hedge: it starts now on a slot that nobody waits for, or is
    // refused.
    bool only_if_spare = false;
};

// A started request ended; its slot is free.
struct request_finished {
    request_id request = 0;
    attempt_verdict verdict = attempt_verdict::answered;
    duration service_time{}; // from sent to answered; zero when not answered
};

// The caller went away. A waiting request is dropped without an action; one
// that was started still ends with request_finished.
struct request_cancelled {
    request_id request = 0;
};

// A peer has work for which it has no slots; count replaces what it asked
// for before, and 0 withdraws.
struct grants_asked {
    std::string peer;
    unsigned count = 0;
    duration urgency{}; // until the deadline of its most urgent request
};

// An owner's answer to an ask, also when it gave grants at once.
struct ask_answered {
    std::string peer;
    unsigned idle = 0;       // free slots it has left
    unsigned declined = 0;   // requests it will not find a slot for in time
    duration come_back_in{}; // when the first of those may be tried again
    duration come_back_interval{}; // and how far apart the others
};

// An owner lets us use one slot, once, until the lease ends.
struct grant_received {
    std::string peer;
    grant_id grant = 0;
    std::string backend_server;
    duration lease{};
};

// A peer no longer needs the slot. The verdict tells how its request ended;
// unused is true when nothing was started.
struct grant_returned {
    std::string peer;
    grant_id grant = 0;
    bool unused = false;
    attempt_verdict verdict = attempt_verdict::answered;
    std::string request_class; // what the service time is to be compared with
    duration service_time{};
};

// Time passed; sent at the moment asked for by wake_at, or whenever.
struct time_passed {};

using scheduler_event =
    std::variant<view_changed, peer_reachability, request_arrived,
                 request_finished, request_cancelled, grants_asked,
                 ask_answered, grant_received, grant_returned, time_passed>;

} // namespace waxwingvale::decision
