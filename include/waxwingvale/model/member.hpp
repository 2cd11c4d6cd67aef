#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// An entry instance and the life it is in. A restarted process at the same
// address is a new incarnation: what the former one remembered is gone, so
// nothing said to or by the former counts for it.
struct member_id {
    std::string name;
    std::uint64_t incarnation = 0; // fresh at every start; larger is later

    friend bool operator==(const member_id& a, const member_id& b) {
        return std::tie(a.name, a.incarnation) ==
               std::tie(b.name, b.incarnation);
    }
    friend bool operator!=(const member_id& a, const member_id& b) {
        return !(a == b);
    }
    friend bool operator<(const member_id& a, const member_id& b) {
        return std::tie(a.name, a.incarnation) <
               std::tie(b.name, b.incarnation);
    }
};

// What is believed of a member.
enum class member_state {
    alive,
    suspect, // silent for a while; still owns its slots
    leaving, // stopping in an orderly way; owns nothing new
    gone     // silent past the bound, or replaced; owns nothing
};

// Where one entry instance listens. All addresses are IP numbers.
struct member_addresses {
    std::string host;
    std::uint16_t caller_port = 0;  // HTTP, for requests
    std::uint16_t steer_port = 0;   // HTTP, for askings which address to use
    std::uint16_t control_port = 0; // websocket, for peers
    // HTTP, for requests that a partitioned peer hands on; 0: none are taken.
    std::uint16_t detour_port = 0;

    friend bool operator==(const member_addresses& a,
                           const member_addresses& b) {
        return std::tie(a.host, a.caller_port, a.steer_port, a.control_port,
                        a.detour_port) == std::tie(b.host, b.caller_port,
                                                   b.steer_port, b.control_port,
                                                   b.detour_port);
    }
};

// What the machine of an entry instance can do. Instances differ: some have a
// tenth of a core and a slow link, and callers should be sent to the others.
struct member_capacity {
    unsigned cpu_permille = 1000; // of one usual core
    unsigned link_mbps = 1000;

    friend bool operator==(const member_capacity& a, const member_capacity& b) {
        return std::tie(a.cpu_permille, a.link_mbps) ==
               std::tie(b.cpu_permille, b.link_mbps);
    }
};

// One entry instance as the others know it.
struct member {
    member_id id;
    std::string data_centre;
    member_addresses addresses;
    member_state state = member_state::alive;
    member_capacity capacity;
    // Callers and peers reach it, and it reaches no backend server.
    bool partitioned = false;
    // Its process runs late again and again, so that others wait for it.
    bool runs_late = false;

    friend bool operator==(const member& a, const member& b) {
        return std::tie(a.id, a.data_centre, a.addresses, a.state, a.capacity,
                        a.partitioned, a.runs_late) ==
               std::tie(b.id, b.data_centre, b.addresses, b.state, b.capacity,
                        b.partitioned, b.runs_late);
    }
};

} // namespace waxwingvale
