// What a view changes in slot_table: servers, availability and owners.

#include <algorithm>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

#include "decision/assumed_instances.hpp"
#include "decision/slot_table.hpp"

namespace waxwingvale::decision {

namespace {

bool serves(const member& candidate) {
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

// Returns the number of instances that share the slots of an unreachable owner:
// the remaining owners, which other instances ask and callers are steered to;
// if there are none, all members. 0 if this instance has to ask an owner
// instead.
unsigned
sharers_of_unreachable_owner(const view_changed& view,
                             const std::unordered_set<std::string>& reachable,
                             const member_id& self) {
    if (!view.members_known) {
        return assumed_instances;
    }
    unsigned owners = 0;
    bool self_owns = false;
    for (const slot_owner& owner : view.owners.owners) {
        if (owner.slots == 0) {
            continue; // an owner to which no server was assigned
        }
        const bool is_self = owner.member.name == self.name;
        self_owns = self_owns || is_self;
        owners += is_self || reachable.count(owner.member.name) != 0 ? 1 : 0;
    }
    if (owners > 0) {
        return self_owns ? owners : 0;
    }
    const auto members =
        std::count_if(view.members.begin(), view.members.end(), serves);
    return std::max(1U, static_cast<unsigned>(members));
}

// Returns the fraction of shared slots that this instance can rely on. It may
// use at least one slot of each server even if there are more instances than
// slots. When these slots counted in full, each instance assumed that it had
// capacity for late requests, and servers received twice as many requests as
// they have slots.
double fair_share_of(unsigned slots, unsigned sharers, unsigned share) {
    const double fair = static_cast<double>(slots) / sharers;
    return std::min(1.0, fair / share);
}

// The part of a named limit that the owner of a server uses. The instances that
// can't reach the owner divide the rest, so that all instances together keep to
// the limit. Two owners at a time, while ownership changes, exceed it by half.
constexpr double owner_limit_share = 0.75;

// An instance that asks the owner (no sharers) uses none of it by itself.
double named_limit_share(bool owned, unsigned sharers) {
    if (owned) {
        return owner_limit_share;
    }
    return sharers == 0 ? 0 : (1 - owner_limit_share) / sharers;
}

// Differs between the instances of a fleet, and is spread evenly from 0 to 1.
double first_credit(const std::string& instance, const std::string& server) {
    return unit_interval(
        combine_hashes(stable_hash(instance), stable_hash(server)));
}

// The combined beliefs about the latest incarnation of a backend server.
struct latest_belief {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool listed_dead = false;    // according to the platform's list
    bool suspected_dead = false; // according to connections or probes
};

void add_belief(latest_belief& latest, const backend_belief& belief) {
    if (is_of_former(belief.incarnation, latest.incarnation)) {
        return;
    }
    if (belief.incarnation > latest.incarnation) {
        latest = latest_belief();
        latest.incarnation = belief.incarnation;
    }
    const bool dead = belief.state == backend_state::dead;
    const bool listed = belief.source == belief_source::platform_list;
    latest.leaving |= belief.state == backend_state::leaving;
    latest.listed_dead |= dead && listed;
    latest.suspected_dead |= dead && !listed;
}

std::unordered_map<std::string, latest_belief>
latest_beliefs(const std::vector<backend_belief>& beliefs) {
    std::unordered_map<std::string, latest_belief> latest;
    for (const backend_belief& belief : beliefs) {
        add_belief(latest[belief.backend_server], belief);
    }
    return latest;
}

// Beliefs about a previous incarnation do not apply to a server that has
// restarted.
latest_belief
belief_of(const backend_slots& server,
          const std::unordered_map<std::string, latest_belief>& latest) {
    const auto found = latest.find(server.name());
    const bool is_current =
        found != latest.end() &&
        !is_of_former(found->second.incarnation, server.incarnation());
    return is_current ? found->second : latest_belief();
}

} // namespace

void slot_table::apply(const service& of, const view_changed& view,
                       const std::unordered_set<std::string>& reachable,
                       time_point now) {
    clear_cached_sums();
    all_changed_ = true;
    configure_servers(of);
    apply_beliefs(view);
    apply_ownership(view, reachable, now);
    configured_before_ = !servers_.empty();
}

void slot_table::configure_servers(const service& of) {
    cold_requests_ = of.cold_requests;
    std::vector<backend_slots> former = std::move(servers_);
    const auto former_places = std::move(by_name_);
    servers_.clear();
    by_name_.clear();
    for (const backend_server& server : of.backend_servers) {
        const auto found = former_places.find(server.name);
        const bool known = found != former_places.end();
        by_name_[server.name] = servers_.size();
        servers_.push_back(known ? std::move(former[found->second])
                                 : backend_slots(server.name));
        servers_.back().configure(server);
        servers_.back().limits().named().set_first_credit(
            first_credit(self_.name, server.name));
        if (!known && configured_before_) {
            servers_.back().limit_to_one_slot();
        }
    }
}

void slot_table::apply_beliefs(const view_changed& view) {
    const auto latest = latest_beliefs(view.beliefs);
    std::size_t serving = 0;
    for (backend_slots& server : servers_) {
        const latest_belief belief = belief_of(server, latest);
        server.set_incarnation(belief.incarnation);
        server.limits().set_unavailable(belief.leaving || belief.listed_dead ||
                                        belief.suspected_dead);
        serving += server.limits().unavailable() ? 0 : 1;
    }
    if (serving > 0) {
        return;
    }
    // All servers are suspected dead because of connections of this instance or
    // a peer. More likely the network near the observer is broken, and
    // excluding all servers would turn the suspicion into an outage.
    for (backend_slots& server : servers_) {
        const latest_belief belief = belief_of(server, latest);
        server.limits().set_unavailable(belief.leaving || belief.listed_dead);
    }
}

// Returns the part of a cold server's request limit that this instance may use.
// While ownership changes, two instances may both consider themselves the
// owner, and a new owner does not know what the previous one sent in the last
// second. Therefore an owner uses half of the limit, and the instances that
// share the slots of an unreachable owner divide the other half.
std::optional<unsigned> slot_table::cold_request_limit(bool owned,
                                                       unsigned sharers) const {
    if (!cold_requests_) {
        return std::nullopt;
    }
    return *cold_requests_ / 2 / (owned ? 1 : std::max(sharers, 1U));
}

void slot_table::apply_ownership(
    const view_changed& view, const std::unordered_set<std::string>& reachable,
    time_point now) {
    const unsigned sharers =
        sharers_of_unreachable_owner(view, reachable, self_);
    for (const member& known : view.members) {
        if (known.id == self_) {
            self_data_centre_ = known.data_centre;
        }
    }
    owned_.assign(servers_.size(), false);
    owns_any_ = false;
    usable_.clear();
    for (index place = 0; place < servers_.size(); ++place) {
        backend_slots& server = servers_[place];
        const slot_owner* owner = find_owner_of(view.owners, server.name());
        const unsigned slots = server.configured();
        const unsigned share = sharers == 0 ? 0 : std::max(1U, slots / sharers);
        unsigned allowance = share;
        double fair_share =
            share == 0 ? 0 : fair_share_of(slots, sharers, share);
        if (owner != nullptr && owner->member.name == self_.name) {
            allowance = slots;
            fair_share = 1;
            owned_[place] = true;
            owns_any_ = true;
        } else if (owner != nullptr &&
                   reachable.count(owner->member.name) != 0) {
            allowance = 0;
        }
        server.set_allowance(allowance, fair_share);
        server.limits().cold().set_owner(owned_[place], !configured_before_,
                                         now);
        server.limits().cold().set_limit(
            cold_request_limit(owned_[place], sharers));
        server.limits().named().set_share(
            named_limit_share(owned_[place], sharers), now);
        if (allowance > 0) {
            usable_.push_back(place);
        }
    }
    // The rotation continues across views. Views may be more frequent than
    // requests; if each restarted the rotation, it would never reach the
    // servers at the end of the list.
    next_start_ = usable_.empty() ? 0 : next_start_ % usable_.size();
}

} // namespace waxwingvale::decision
