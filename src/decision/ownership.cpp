#include <waxwingvale/decision/ownership.hpp>

#include <algorithm>
#include <tuple>

#include "decision/machine_strength.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

bool may_own(const member& candidate) {
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

unsigned total_slots(const service& of) {
    unsigned sum = 0;
    for (const backend_server& server : of.backend_servers) {
        sum += server.slots;
    }
    return sum;
}

std::size_t owner_count(const service& of, std::size_t candidates) {
    const std::size_t derived =
        (total_slots(of) + slots_per_owner - 1) / slots_per_owner;
    const std::size_t wanted =
        of.owners != 0 ? of.owners : std::max<std::size_t>(derived, 2);
    return std::min(wanted, candidates);
}

struct scored_member {
    bool strong = true;
    std::uint64_t score = 0;
    const member* candidate = nullptr;
};

// Strong members first, then by falling score, one of each name: while an
// instance is replaced the list may hold both of its incarnations, and the
// later one counts.
std::vector<scored_member> ranked_members(const service& of,
                                          const std::vector<member>& members) {
    std::vector<scored_member> ranked;
    const machine_strength strength(members);
    for (const member& candidate : members) {
        if (!may_own(candidate)) {
            continue;
        }
        const auto score = stable_hash(candidate.id.name, stable_hash(of.name));
        ranked.push_back({strength.is_strong(candidate), score, &candidate});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const scored_member& a, const scored_member& b) {
                  return std::tie(b.strong, b.score, a.candidate->id.name,
                                  b.candidate->id.incarnation) <
                         std::tie(a.strong, a.score, b.candidate->id.name,
                                  a.candidate->id.incarnation);
              });
    const auto same_name = [](const scored_member& a, const scored_member& b) {
        return a.candidate->id.name == b.candidate->id.name;
    };
    ranked.erase(std::unique(ranked.begin(), ranked.end(), same_name),
                 ranked.end());
    return ranked;
}

// Takes members by rank but passes over data centres already taken while
// others are left: were all owners in one, its loss would stop the service
// until the members are seen as gone.
std::vector<slot_owner> pick_owners(const std::vector<scored_member>& ranked,
                                    std::size_t count) {
    std::vector<slot_owner> owners;
    std::vector<bool> taken(ranked.size(), false);
    while (owners.size() < count) {
        std::vector<std::string> used;
        for (std::size_t i = 0; i < ranked.size() && owners.size() < count;
             ++i) {
            const std::string& centre = ranked[i].candidate->data_centre;
            const bool seen =
                std::find(used.begin(), used.end(), centre) != used.end();
            if (taken[i] || seen) {
                continue;
            }
            taken[i] = true;
            used.push_back(centre);
            owners.push_back({ranked[i].candidate->id, centre, {}, 0});
        }
    }
    return owners;
}

// The owner with room that the server prefers: one in its own data centre
// first, then by rendezvous.
slot_owner* preferred_owner(std::vector<slot_owner>& owners,
                            const backend_server& server, unsigned room_for) {
    slot_owner* best = nullptr;
    bool best_is_near = false;
    std::uint64_t best_score = 0;
    for (slot_owner& owner : owners) {
        if (owner.slots + server.slots > room_for) {
            continue;
        }
        const bool near = owner.data_centre == server.data_centre;
        const auto score =
            stable_hash(owner.member.name, stable_hash(server.name));
        if (best == nullptr ||
            std::tie(near, score) > std::tie(best_is_near, best_score)) {
            best = &owner;
            best_is_near = near;
            best_score = score;
        }
    }
    return best;
}

slot_owner& least_loaded(std::vector<slot_owner>& owners) {
    return *std::min_element(owners.begin(), owners.end(),
                             [](const slot_owner& a, const slot_owner& b) {
                                 return a.slots < b.slots;
                             });
}

struct hashed_server {
    std::uint64_t hash = 0;
    const backend_server* server = nullptr;
};

std::vector<hashed_server> servers_by_hash(const service& of) {
    std::vector<hashed_server> servers;
    servers.reserve(of.backend_servers.size());
    for (const backend_server& server : of.backend_servers) {
        servers.push_back({stable_hash(server.name), &server});
    }
    std::sort(servers.begin(), servers.end(),
              [](const hashed_server& a, const hashed_server& b) {
                  return std::tie(a.hash, a.server->name) <
                         std::tie(b.hash, b.server->name);
              });
    return servers;
}

void give(slot_owner& owner, const backend_server& server) {
    owner.backend_servers.push_back(server.name);
    owner.slots += server.slots;
}

// Each server to the owner that it prefers, in an order that all instances
// agree on.
void divide(const service& of, std::vector<slot_owner>& owners) {
    const auto count = static_cast<unsigned>(owners.size());
    const unsigned room = (total_slots(of) + count - 1) / count;
    for (const hashed_server& each : servers_by_hash(of)) {
        slot_owner* owner = preferred_owner(owners, *each.server, room);
        give(owner != nullptr ? *owner : least_loaded(owners), *each.server);
    }
}

} // namespace

bool operator==(const slot_owner& a, const slot_owner& b) {
    return std::tie(a.member, a.data_centre, a.backend_servers, a.slots) ==
           std::tie(b.member, b.data_centre, b.backend_servers, b.slots);
}

bool operator==(const ownership& a, const ownership& b) {
    return std::tie(a.service, a.owners, a.standbys) ==
           std::tie(b.service, b.owners, b.standbys);
}

ownership compute_ownership(const service& of,
                            const std::vector<member>& members) {
    ownership result{of.name, {}, {}};
    const auto ranked = ranked_members(of, members);
    if (ranked.empty()) {
        return result;
    }
    const std::size_t count = owner_count(of, ranked.size());
    const std::size_t with_standbys =
        std::min(count + standbys_per_service, ranked.size());
    auto picked = pick_owners(ranked, with_standbys);
    const auto first_standby = picked.begin() + static_cast<long>(count);
    result.standbys.assign(first_standby, picked.end());
    picked.erase(first_standby, picked.end());
    result.owners = std::move(picked);
    if (result.owners.size() == 1) {
        for (const backend_server& server : of.backend_servers) {
            give(result.owners.front(), server);
        }
    } else {
        divide(of, result.owners);
    }
    for (slot_owner& owner : result.owners) {
        std::sort(owner.backend_servers.begin(), owner.backend_servers.end());
    }
    return result;
}

service_ownerships compute_ownerships(const configuration& config,
                                      const std::vector<member>& members) {
    service_ownerships all;
    for (const service& of : config.services) {
        all.emplace(of.name, compute_ownership(of, members));
    }
    return all;
}

ownership with_standbys(const ownership& planned, const std::string& self,
                        const std::unordered_set<std::string>& reachable) {
    const auto at_hand = [&](const slot_owner& each) {
        return each.member.name == self ||
               reachable.count(each.member.name) != 0;
    };
    ownership acted = planned;
    auto next = planned.standbys.begin();
    for (slot_owner& owner : acted.owners) {
        if (at_hand(owner)) {
            continue;
        }
        next = std::find_if(next, planned.standbys.end(), at_hand);
        if (next == planned.standbys.end()) {
            break;
        }
        owner.member = next->member;
        owner.data_centre = next->data_centre;
        ++next;
    }
    return acted;
}

const slot_owner* find_owner_of(const ownership& owners,
                                const std::string& backend_server) {
    for (const slot_owner& owner : owners.owners) {
        if (std::binary_search(owner.backend_servers.begin(),
                               owner.backend_servers.end(), backend_server)) {
            return &owner;
        }
    }
    return nullptr;
}

const slot_owner* find_owner(const ownership& owners,
                             const std::string& member_name) {
    for (const slot_owner& owner : owners.owners) {
        if (owner.member.name == member_name) {
            return &owner;
        }
    }
    return nullptr;
}

} // namespace waxwingvale::decision
