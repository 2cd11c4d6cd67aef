#include <waxwingvale/decision/ownership.hpp>

#include <algorithm>
#include <tuple>

#include "decision/fleet_capacity.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

bool is_eligible(const member& candidate) {
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

// An instance that reaches no backend server would refuse the requests of all
// others. It owns slots only if all are in that state.
bool all_partitioned(const std::vector<member>& members) {
    return std::none_of(members.begin(), members.end(), [](const member& each) {
        return is_eligible(each) && !each.partitioned;
    });
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
    bool runs_late = false;
    bool high_capacity = true;
    std::uint64_t score = 0;
    const member* candidate = nullptr;
};

// Members that do not run late first, of these those with high capacity, then
// by descending score. Each name occurs
// once: while an instance is replaced, the list may contain two of its
// incarnations, of which the later one is used.
std::vector<scored_member> ranked_members(const service& of,
                                          const std::vector<member>& members) {
    std::vector<scored_member> ranked;
    const fleet_capacity capacity(members);
    const bool none_in_touch = all_partitioned(members);
    for (const member& candidate : members) {
        if (!is_eligible(candidate) ||
            (candidate.partitioned && !none_in_touch)) {
            continue;
        }
        const auto score = stable_hash(candidate.id.name, stable_hash(of.name));
        ranked.push_back({candidate.runs_late,
                          capacity.has_high_capacity(candidate), score,
                          &candidate});
    }
    std::sort(
        ranked.begin(), ranked.end(),
        [](const scored_member& a, const scored_member& b) {
            return std::tie(a.runs_late, b.high_capacity, b.score,
                            a.candidate->id.name, b.candidate->id.incarnation) <
                   std::tie(b.runs_late, a.high_capacity, a.score,
                            b.candidate->id.name, a.candidate->id.incarnation);
        });
    const auto same_name = [](const scored_member& a, const scored_member& b) {
        return a.candidate->id.name == b.candidate->id.name;
    };
    ranked.erase(std::unique(ranked.begin(), ranked.end(), same_name),
                 ranked.end());
    return ranked;
}

// Selects members by rank, but from data centres already used only if no other
// is left. If all owners were in one data centre, its loss would stop the
// service until the members are detected as gone.
std::vector<slot_owner>
pick_from_data_centres(const std::vector<scored_member>& ranked,
                       std::size_t count) {
    std::vector<slot_owner> owners;
    std::vector<bool> taken(ranked.size(), false);
    while (owners.size() < count) {
        std::vector<std::string> used;
        for (std::size_t i = 0; i < ranked.size() && owners.size() < count;
             ++i) {
            const std::string& data_centre = ranked[i].candidate->data_centre;
            const bool seen =
                std::find(used.begin(), used.end(), data_centre) != used.end();
            if (taken[i] || seen) {
                continue;
            }
            taken[i] = true;
            used.push_back(data_centre);
            owners.push_back({ranked[i].candidate->id, data_centre, {}, 0});
        }
    }
    return owners;
}

// Everybody waits for an owner that runs late: such members come last, wherever
// they are.
std::vector<slot_owner> pick_owners(const std::vector<scored_member>& ranked,
                                    std::size_t count) {
    const auto first_late =
        std::find_if(ranked.begin(), ranked.end(),
                     [](const scored_member& each) { return each.runs_late; });
    const std::vector<scored_member> prompt(ranked.begin(), first_late);
    const std::vector<scored_member> late(first_late, ranked.end());
    auto owners =
        pick_from_data_centres(prompt, std::min(count, prompt.size()));
    const auto others = pick_from_data_centres(late, count - owners.size());
    owners.insert(owners.end(), others.begin(), others.end());
    return owners;
}

// Returns the preferred owner of the server among those that stay within
// max_slots: owners in the server's data centre first, then by rendezvous
// hashing.
slot_owner* preferred_owner(std::vector<slot_owner>& owners,
                            const backend_server& server, unsigned max_slots) {
    slot_owner* best = nullptr;
    bool best_is_local = false;
    std::uint64_t best_score = 0;
    for (slot_owner& owner : owners) {
        if (owner.slots + server.slots > max_slots) {
            continue;
        }
        const bool is_local = owner.data_centre == server.data_centre;
        const auto score =
            stable_hash(owner.member.name, stable_hash(server.name));
        if (best == nullptr ||
            std::tie(is_local, score) > std::tie(best_is_local, best_score)) {
            best = &owner;
            best_is_local = is_local;
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

void assign(slot_owner& owner, const backend_server& server) {
    owner.backend_servers.push_back(server.name);
    owner.slots += server.slots;
}

// Assigns each server to its preferred owner, in an order that is the same on
// all instances.
void assign_servers(const service& of, std::vector<slot_owner>& owners) {
    const auto count = static_cast<unsigned>(owners.size());
    const unsigned max_slots = (total_slots(of) + count - 1) / count;
    for (const hashed_server& each : servers_by_hash(of)) {
        slot_owner* owner = preferred_owner(owners, *each.server, max_slots);
        assign(owner != nullptr ? *owner : least_loaded(owners), *each.server);
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
            assign(result.owners.front(), server);
        }
    } else {
        assign_servers(of, result.owners);
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
    const auto is_reachable = [&](const slot_owner& each) {
        return each.member.name == self ||
               reachable.count(each.member.name) != 0;
    };
    ownership result = planned;
    auto next = planned.standbys.begin();
    for (slot_owner& owner : result.owners) {
        if (is_reachable(owner)) {
            continue;
        }
        next = std::find_if(next, planned.standbys.end(), is_reachable);
        if (next == planned.standbys.end()) {
            break;
        }
        owner.member = next->member;
        owner.data_centre = next->data_centre;
        ++next;
    }
    return result;
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
