#pragma once

#include <string>
#include <vector>

#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// One entry instance that hands out the slots of some backend servers.
struct slot_owner {
    member_id member;
    std::string data_centre;
    std::vector<std::string> backend_servers; // sorted
    unsigned slots = 0; // of those servers together; the steering weight
};

// Who owns the slots of one service. Each backend server has one owner.
struct ownership {
    std::string service;
    std::vector<slot_owner> owners; // by rank; empty: no member can own
};

bool operator==(const slot_owner& a, const slot_owner& b);
bool operator==(const ownership& a, const ownership& b);

// How many slots one owner hands out at most when the file does not say how
// many owners there are. See docs/design/ownership-and-steering.md.
inline constexpr unsigned slots_per_owner = 32;

// The owners of the service among members that are alive or suspect: a pure
// function of its arguments, so that instances with the same view agree
// without talking. Two owners at least when two such members exist, so that
// the loss of one never leaves a service without owner; in different data
// centres while there are enough. Changes of the member list move as few
// backend servers as the balance between owners allows.
ownership compute_ownership(const service& of,
                            const std::vector<member>& members);

// The owner of that backend server, or null.
const slot_owner* find_owner_of(const ownership& owners,
                                const std::string& backend_server);

// The slots that the member owns, or null if it owns none.
const slot_owner* find_owner(const ownership& owners,
                             const std::string& member_name);

} // namespace waxwingvale::decision
