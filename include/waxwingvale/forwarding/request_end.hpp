#pragma once

#include <cstddef>
#include <string>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::forwarding {

// How a request that was read ended, as its connection saw it.
enum class request_end {
    answered,      // the system has taken all of its answer for the caller
    caller_left,   // the caller closed or reset its connection first
    caller_silent, // the caller confirmed nothing for the limit of silence
    body_refused,  // the rest of its body, sent on meanwhile, was no body
    sent_too_late, // it came after an answer that ends the connection
    server_cut,    // the backend server broke off an answer passed on as it
                   // came
    deadline_cut,  // the caller's or the route's time ended amid such an answer
    closing,       // it came while this instance closed its idle connection
    memory_short,  // its connection held too much of this instance's memory
    stopped        // this process ended first
};

// Whose doing the end of a request was.
enum class ended_by { nobody, caller, backend_server, instance };

ended_by party_of(request_end end);
const char* to_string(request_end end);
const char* to_string(ended_by party);

// One request that was read, and its end.
struct ended_request {
    request_end end = request_end::answered;
    std::string name;    // see caller_exchange::give_name(); empty: it got none
    std::string peer;    // the caller's IP number
    unsigned status = 0; // of the answer that was given; 0: none
    std::size_t unsent = 0; // bytes of the answer that the system did not take
    duration took{};        // from the request's last byte, or a part of its
                            // body that was handed over, to its end
};

inline bool operator==(const ended_request& a, const ended_request& b) {
    return a.end == b.end && a.name == b.name && a.peer == b.peer &&
           a.status == b.status && a.unsent == b.unsent && a.took == b.took;
}

} // namespace waxwingvale::forwarding
