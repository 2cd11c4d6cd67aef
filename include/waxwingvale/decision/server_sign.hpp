#pragma once

namespace waxwingvale::decision {

// What an event tells of the process of a backend server to which a request was
// sent. All that is known of the ends of processes follows from these signs:
//
// - that a connection ended proves nothing: networks and full servers reset the
//   connections of processes that run on;
// - neither does silence, which is all that is seen of a machine that lost its
//   power, but also of a slow server;
// - a process has ended when nothing listens at its address, when another
//   process answers or is registered there, or when its entry in the registry
//   has gone and nobody got an answer from it since;
// - a process has not ended if it answers what was sent to it afterwards,
//   whatever the answer says.
enum class server_sign {
    none,
    answered,        // the process itself, whatever it said
    connection_lost, // a connection ended without a whole answer
    silent,          // no answer, or no connection, in time
    not_listening,   // refused as a connection
    replaced,        // another process has its address or its name
    unlisted         // its entry in the registry has gone
};

// The lower-case word for a sign, as it appears in logs.
const char* to_string(server_sign sign);

// Whether a process that showed the sign after a connection to it was lost has
// ended.
constexpr bool proves_end(server_sign sign) {
    return sign == server_sign::not_listening ||
           sign == server_sign::replaced || sign == server_sign::unlisted;
}

} // namespace waxwingvale::decision
