#include "decision/slot_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace waxwingvale::decision {

namespace {

// A request that must not run twice is the sample for a failing server only
// when no harmless one came by for so long: it may end as unknown.
constexpr duration write_sample_delay{2000000};

bool serves(const member& candidate) {
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

// How many instances divide the slots of an owner out of reach: the owners
// that are left, whom the others ask and callers are steered to; without any,
// all members. 0 when this instance is to ask an owner instead.
unsigned sharers_of_lost_slots(const view_changed& view,
                               const std::unordered_set<std::string>& reachable,
                               const member_id& self) {
    unsigned owners = 0;
    bool self_owns = false;
    for (const slot_owner& owner : view.owners.owners) {
        if (owner.slots == 0) {
            continue; // named as an owner, but no server fell to it
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

bool excludes(const slot_wish& wish, const std::string& name) {
    return wish.excluded != nullptr &&
           std::find(wish.excluded->begin(), wish.excluded->end(), name) !=
               wish.excluded->end();
}

// What is believed of one backend server's latest incarnation.
struct latest_belief {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool listed_dead = false;    // the platform says so
    bool suspected_dead = false; // somebody's connections say so
};

void add_belief(latest_belief& latest, const backend_belief& belief) {
    if (belief.incarnation != 0 && belief.incarnation < latest.incarnation) {
        return; // word about a former incarnation
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

} // namespace

slot_table::slot_table(member_id self, const scheduling_policy& policy)
    : self_(std::move(self)), policy_(policy) {}

void slot_table::apply(const service& of, const view_changed& view,
                       const std::unordered_set<std::string>& reachable) {
    configure_servers(of);
    apply_beliefs(view);
    apply_ownership(view, reachable);
    configured_before_ = !servers_.empty();
}

void slot_table::configure_servers(const service& of) {
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
        if (!known && configured_before_) {
            servers_.back().start_cold();
        }
    }
}

void slot_table::apply_beliefs(const view_changed& view) {
    const auto latest = latest_beliefs(view.beliefs);
    std::size_t serving = 0;
    for (backend_slots& server : servers_) {
        const auto found = latest.find(server.name());
        const latest_belief belief =
            found == latest.end() ? latest_belief() : found->second;
        server.set_incarnation(belief.incarnation);
        server.set_vetoed(belief.leaving || belief.listed_dead ||
                          belief.suspected_dead);
        serving += server.vetoed() ? 0 : 1;
    }
    if (serving > 0) {
        return;
    }
    // Every server looks dead to connections of ours or of a peer: more
    // likely the network near the observer is broken. Shutting all of them
    // out would turn that suspicion into an outage.
    for (backend_slots& server : servers_) {
        const auto found = latest.find(server.name());
        const latest_belief& belief = found->second;
        server.set_vetoed(belief.leaving || belief.listed_dead);
    }
}

void slot_table::apply_ownership(
    const view_changed& view,
    const std::unordered_set<std::string>& reachable) {
    const unsigned sharers = sharers_of_lost_slots(view, reachable, self_);
    for (const member& known : view.members) {
        if (known.id == self_) {
            self_data_centre_ = known.data_centre;
        }
    }
    owned_.assign(servers_.size(), false);
    near_.assign(servers_.size(), false);
    working_slots_ = 0;
    usable_.clear();
    turn_ = 0;
    for (index place = 0; place < servers_.size(); ++place) {
        backend_slots& server = servers_[place];
        const slot_owner* owner = find_owner_of(view.owners, server.name());
        const unsigned share =
            sharers == 0 ? 0 : std::max(1U, server.configured() / sharers);
        unsigned allowance = share;
        if (owner != nullptr && owner->member.name == self_.name) {
            allowance = server.configured();
            owned_[place] = true;
        } else if (owner != nullptr &&
                   reachable.count(owner->member.name) != 0) {
            allowance = 0;
        }
        server.set_allowance(allowance);
        near_[place] = server.data_centre() == self_data_centre_;
        working_slots_ += working_share(place);
        if (allowance > 0) {
            usable_.push_back(place);
        }
    }
}

std::optional<slot_table::index>
slot_table::find(const std::string& backend_server) const {
    const auto found = by_name_.find(backend_server);
    if (found == by_name_.end()) {
        return std::nullopt;
    }
    return found->second;
}

// Failing servers are shut out only while they are the minority: when most
// fail, the fault is more likely in the requests or in what all depend on.
bool slot_table::shuts_out_failing() const {
    std::size_t failing = 0;
    std::size_t serving = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        serving += server.vetoed() ? 0 : 1;
        failing += !server.vetoed() && server.health().failing() ? 1 : 0;
    }
    return failing * 2 <= serving;
}

bool slot_table::sampled(const backend_slots& server, const slot_wish& wish,
                         time_point now) const {
    return server.health().sample_due(
        wish.may_sample ? now : now - write_sample_delay);
}

bool slot_table::admits(const backend_slots& server, const slot_wish& wish,
                        time_point now) const {
    if (server.health().failing()) {
        return sampled(server, wish, now);
    }
    if (!server.health().straggler() || sampled(server, wish, now)) {
        return true;
    }
    // A slow slot is worth its while once waiting for the others would take
    // longer than the slow answer.
    const double extra = (server.health().slowness() - 1.0) *
                         static_cast<double>(wish.typical.count());
    return static_cast<double>(wish.backlog.count()) > extra;
}

double slot_table::cost(index place, const slot_wish& wish,
                        time_point now) const {
    const backend_slots& server = servers_[place];
    if (server.health().watched() && sampled(server, wish, now)) {
        return 0; // first choice, or it would never be seen to recover
    }
    const double load = static_cast<double>(server.in_flight()) /
                        static_cast<double>(std::max(server.limit(), 1U));
    const double slowness =
        server.health().slow() ? server.health().slowness() : 1.0;
    const auto typical = static_cast<double>(wish.typical.count());
    const auto way =
        static_cast<double>(policy_.other_data_centre_cost.count());
    return typical * slowness * (1.0 + policy_.load_cost * load) +
           (near_[place] ? 0.0 : way);
}

bool slot_table::only_passed_over() const {
    return working_slots_ == 0;
}

std::optional<slot_table::index> slot_table::choose(const slot_wish& wish,
                                                    time_point now) const {
    std::optional<index> best;
    std::optional<index> fallback;
    double best_cost = std::numeric_limits<double>::max();
    double fallback_cost = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < usable_.size(); ++i) {
        // From the next one on: were the first server always preferred among
        // equals, nothing would be learned of the others while load is low.
        const std::size_t turn = turn_ + i;
        const index place =
            usable_[turn < usable_.size() ? turn : turn - usable_.size()];
        const backend_slots& server = servers_[place];
        const bool alone = !wish.isolated || server.in_flight() == 0;
        if (server.free(now) == 0 || !alone || excludes(wish, server.name())) {
            continue;
        }
        const double price = cost(place, wish, now);
        const bool admitted = admits(server, wish, now);
        if (admitted && price < best_cost) {
            best = place;
            best_cost = price;
        } else if (!admitted && price < fallback_cost) {
            fallback = place;
            fallback_cost = price;
        }
    }
    if (best || !fallback) {
        return best;
    }
    // An owner whose servers all fail would take every error for itself while
    // other owners' servers are well.
    if (wish.patient && servers_[*fallback].health().failing()) {
        return std::nullopt;
    }
    const bool nothing_better = !shuts_out_failing() || only_passed_over();
    return nothing_better ? fallback : std::nullopt;
}

bool slot_table::any_left(const std::vector<std::string>& excluded) const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const backend_slots& server) {
                           return !server.vetoed() &&
                                  std::find(excluded.begin(), excluded.end(),
                                            server.name()) == excluded.end();
                       });
}

bool slot_table::may_start(index place, const slot_wish& wish) const {
    const backend_slots& server = servers_[place];
    return !server.vetoed() && !excludes(wish, server.name());
}

void slot_table::start(index place, time_point now, bool isolated) {
    backend_slots& server = servers_[place];
    if (server.health().watched() && server.health().sample_due(now)) {
        server.health().sample_taken(now, policy_);
    }
    server.start(now, isolated);
    turn_ = turn_ + 1 < usable_.size() ? turn_ + 1 : 0;
}

void slot_table::finish(index place, time_point started_at,
                        attempt_verdict verdict, double relative_log,
                        time_point now) {
    working_slots_ -= working_share(place);
    backend_slots& server = servers_[place];
    server.finish(started_at, verdict, now, policy_);
    server.health().add(verdict, relative_log, now, policy_);
    working_slots_ += working_share(place);
}

void slot_table::release(index place, time_point started_at, time_point now) {
    servers_[place].finish(started_at, attempt_verdict::cancelled, now,
                           policy_);
}

// What the server adds to the working slots; their sum is kept up to date,
// since counting it anew for each request would take time in proportion to
// the servers.
unsigned slot_table::working_share(index place) const {
    const backend_slots& server = servers_[place];
    const bool works =
        !server.health().failing() && !server.health().straggler();
    return works ? server.limit() : 0;
}

unsigned slot_table::idle_slots(time_point now) const {
    unsigned sum = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        if (!server.health().failing() && !server.health().straggler()) {
            sum += server.free(now);
        }
    }
    return sum;
}

std::optional<time_point> slot_table::next_change(time_point now) const {
    std::optional<time_point> next;
    const auto consider = [&](time_point when) {
        if (when > now && (!next || when < *next)) {
            next = when;
        }
    };
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        if (server.limit() == 0) {
            continue;
        }
        consider(server.paused_until());
        if (server.health().watched()) {
            consider(server.health().next_sample());
        }
    }
    return next;
}

} // namespace waxwingvale::decision
