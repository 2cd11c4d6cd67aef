#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// An entry instance that assigns the slots of some backend servers to requests.
struct slot_owner {
    member_id member;
    std::string data_centre;
    std::vector<std::string> backend_servers; // sorted
    unsigned slots = 0; // total of those servers; also the steering weight
};

// The owners of one service's slots. Each backend server has exactly one owner.
struct ownership {
    std::string service;
    // By rank; empty if no member is eligible.
    std::vector<slot_owner> owners;
    // Members that replace unreachable owners, by rank. They have no backend
    // servers of their own.
    std::vector<slot_owner> standbys;
};

bool operator==(const slot_owner& a, const slot_owner& b);
bool operator==(const ownership& a, const ownership& b);

// Maximum number of slots per owner if the configuration does not set the
// number of owners. See docs/design/ownership-and-steering.md.
inline constexpr unsigned slots_per_owner = 32;

// Number of standbys of a service. A standby is used only if all standbys of a
// higher rank are unreachable.
inline constexpr std::size_t standbys_per_service = 3;

// Selects the owners of the service from the members that are alive or suspect.
// The result depends on the arguments only, so that instances with the same
// view agree without exchanging messages. There are at least two owners if two
// such members exist and the configuration does not set another number. Owners
// and standbys are placed in different data centres as long as there are
// enough, and on low-capacity machines only if there are no others. Partitioned
// members are selected only if all are partitioned. A change of the member list
// moves as few backend servers as the balance between owners allows.
ownership compute_ownership(const service& of,
                            const std::vector<member>& members);

// The ownership of each service of a configuration, by service name.
using service_ownerships = std::map<std::string, ownership>;
service_ownerships compute_ownerships(const configuration& config,
                                      const std::vector<member>& members);

// The ownership as seen by the instance `self`: replaces each owner that is
// neither `self` nor reachable by the first unused standby that is `self` or
// reachable. Owners without such a standby stay in the result.
ownership with_standbys(const ownership& planned, const std::string& self,
                        const std::unordered_set<std::string>& reachable);

// Returns the owner of the backend server, or null if it has none.
const slot_owner* find_owner_of(const ownership& owners,
                                const std::string& backend_server);

// Returns the owner entry of the member, or null if it is no owner.
const slot_owner* find_owner(const ownership& owners,
                             const std::string& member_name);

} // namespace waxwingvale::decision
