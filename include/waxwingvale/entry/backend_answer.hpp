#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>

#include <waxwingvale/decision/server_sign.hpp>
#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/backend_load.hpp>
#include <waxwingvale/model/backend_terms.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::entry {

// How an attempt on a backend server ended, as far as we can tell.
enum class attempt_end {
    answered,    // a whole answer below 500
    failed,      // a whole answer of 500 or above
    not_started, // the backend server refused before it began
    // It refused by a status that says "not run", without proof of it.
    refused_unproven,
    not_sent,    // refused as a connection: nothing listens there
    unreachable, // no connection in time; no byte of the request left
    timed_out,   // sent, and no answer within the time left
    broken,      // sent, and the connection ended without a whole answer
    misdirected, // another backend server has the address; it did not begin
    held_back    // by a limit of our own; says nothing of the server
};

// The lower-case word for an end, as it appears in logs.
const char* to_string(attempt_end end);

// What the end of an attempt, or of a probe, tells all instances of the backend
// server: what it says of itself, or that nothing listens at its address. A
// connection that did not come about in time says as much of the network near
// this instance, and is left to this instance's own scheduler.
struct backend_answer;
std::optional<backend_state> state_for_all(const backend_answer& answer);

// What an attempt tells about the request and about the backend server.
struct backend_answer {
    attempt_end end = attempt_end::broken;
    run_outcome outcome = run_outcome::unknown;
    std::optional<backend_state> state; // what the server says of itself
    std::uint64_t incarnation = 0;      // 0 when it did not say
    // What it shows of the process to which the attempt was sent.
    decision::server_sign sign = decision::server_sign::none;
    // The start that answered, as the answer itself says; 0: it does not.
    std::uint64_t named_incarnation = 0;
    std::optional<backend_load> load; // as it said in this answer
    std::size_t bytes = 0;            // of the answer's body
    std::optional<duration> cold_for; // how much longer, as it said
    // As stated in the head of the answer; nothing without a head of that
    // server, or if its terms do not parse.
    std::optional<backend_terms> terms;
};

} // namespace waxwingvale::entry
