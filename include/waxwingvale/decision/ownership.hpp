#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>
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
    // Who takes an owner's place while it is out of reach, by rank.
    std::vector<slot_owner> standbys; // without backend servers
};

bool operator==(const slot_owner& a, const slot_owner& b);
bool operator==(const ownership& a, const ownership& b);

// How many slots one owner hands out at most when the file does not say how
// many owners there are. See docs/design/ownership-and-steering.md.
inline constexpr unsigned slots_per_owner = 32;

// How many instances stand by for the owners. Each is asked only when all
// before it are out of reach.
inline constexpr std::size_t standbys_per_service = 3;

// The owners of the service among members that are alive or suspect: a pure
// function of its arguments, so that instances with the same view agree
// without talking. Two owners at least when two such members exist and the
// file does not say otherwise. Owners and standbys are in different data
// centres while there are enough, and weak machines only when there are no
// others. Changes of the member list move as few backend servers as the balance
// between owners allows.
ownership compute_ownership(const service& of,
                            const std::vector<member>& members);

// Those of all services of a configuration, by name.
using service_ownerships = std::map<std::string, ownership>;
service_ownerships compute_ownerships(const configuration& config,
                                      const std::vector<member>& members);

// The ownership as one instance has to act on it: each owner that it neither
// is nor reaches is replaced by the first standby that it is or reaches. An
// owner without such a standby stays.
ownership with_standbys(const ownership& planned, const std::string& self,
                        const std::unordered_set<std::string>& reachable);

// The owner of that backend server, or null.
const slot_owner* find_owner_of(const ownership& owners,
                                const std::string& backend_server);

// The slots that the member owns, or null if it owns none.
const slot_owner* find_owner(const ownership& owners,
                             const std::string& member_name);

} // namespace waxwingvale::decision
