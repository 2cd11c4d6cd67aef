#include "decision/slot_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingvale::decision {

namespace {

// A server's pace at the start of an attempt must have been known with this
// probability, or its service time would teach the wrong thing.
constexpr double certain_enough = 0.6;
// An answer that took many times longer says that there are such, and must not
// alone make a number of requests look crowded.
constexpr double farthest_deviation = 1.0;

bool serves(const member& candidate) {
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

// Instances that all start at one moment know of no other for a few tenths of a
// second. A whole service for each of them would be many times its slots, so
// that each counts on as little as if there were so many: the users have 12 to
// 18 where they are few.
constexpr unsigned sharers_not_known = 16;

// How many instances divide the slots of an owner out of reach: the owners
// that are left, whom the others ask and callers are steered to; without any,
// all members. 0 when this instance is to ask an owner instead.
unsigned sharers_of_lost_slots(const view_changed& view,
                               const std::unordered_set<std::string>& reachable,
                               const member_id& self) {
    if (!view.introduced) {
        return sharers_not_known;
    }
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

// Of slots that it may use with others, how many this instance may count on: it
// may use one of each server although there are more instances than slots.
// Counted whole, each instance took itself to have time for late requests, and
// servers got twice what they have slots for.
double fair_part(unsigned slots, unsigned sharers, unsigned share) {
    const double fair = static_cast<double>(slots) / sharers;
    return std::min(1.0, fair / share);
}

// What is believed of one backend server's latest incarnation.
struct latest_belief {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool listed_dead = false;    // the platform says so
    bool suspected_dead = false; // somebody's connections say so
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

// A server that has started again is not dead or leaving since its former
// process was.
latest_belief
belief_of(const backend_slots& server,
          const std::unordered_map<std::string, latest_belief>& latest) {
    const auto found = latest.find(server.name());
    const bool of_this_start =
        found != latest.end() &&
        !is_of_former(found->second.incarnation, server.incarnation());
    return of_this_start ? found->second : latest_belief();
}

} // namespace

bool may_run_on(const request_needs& request, const backend_slots& server) {
    const auto& excluded = request.excluded;
    const bool passed_over = std::find(excluded.begin(), excluded.end(),
                                       server.name()) != excluded.end();
    const auto& allowed = request.data_centres;
    return !passed_over &&
           (!allowed || std::find(allowed->begin(), allowed->end(),
                                  server.data_centre()) != allowed->end());
}

slot_table::slot_table(member_id self, const scheduling_policy& policy)
    : self_(std::move(self)), policy_(policy) {}

void slot_table::apply(const service& of, const view_changed& view,
                       const std::unordered_set<std::string>& reachable) {
    forget_sums();
    all_changed_ = true;
    configure_servers(of);
    apply_beliefs(view);
    apply_ownership(view, reachable);
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
        if (!known && configured_before_) {
            servers_.back().start_cold();
        }
    }
}

void slot_table::apply_beliefs(const view_changed& view) {
    const auto latest = latest_beliefs(view.beliefs);
    std::size_t serving = 0;
    for (backend_slots& server : servers_) {
        const latest_belief belief = belief_of(server, latest);
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
        const latest_belief belief = belief_of(server, latest);
        server.set_vetoed(belief.leaving || belief.listed_dead);
    }
}

// This instance's part of the requests that a cold server bears. While owners
// change, two may each take themselves for the one; and a new one does not know
// what the former sent in the last second. So an owner uses half, and those
// that share what no owner hands out divide the other.
std::optional<unsigned> slot_table::cold_part(bool owned,
                                              unsigned sharers) const {
    if (!cold_requests_) {
        return std::nullopt;
    }
    return *cold_requests_ / 2 / (owned ? 1 : std::max(sharers, 1U));
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
    owns_any_ = false;
    usable_.clear();
    for (index place = 0; place < servers_.size(); ++place) {
        backend_slots& server = servers_[place];
        const slot_owner* owner = find_owner_of(view.owners, server.name());
        const unsigned slots = server.configured();
        const unsigned share = sharers == 0 ? 0 : std::max(1U, slots / sharers);
        unsigned allowance = share;
        double part = share == 0 ? 0 : fair_part(slots, sharers, share);
        if (owner != nullptr && owner->member.name == self_.name) {
            allowance = slots;
            part = 1;
            owned_[place] = true;
            owns_any_ = true;
        } else if (owner != nullptr &&
                   reachable.count(owner->member.name) != 0) {
            allowance = 0;
        }
        server.set_allowance(allowance, part);
        server.cold().set_most(cold_part(owned_[place], sharers));
        if (allowance > 0) {
            usable_.push_back(place);
        }
    }
    // Views may come more often than requests: begun anew with each, the turns
    // would never reach the servers further on.
    turn_ = usable_.empty() ? 0 : turn_ % usable_.size();
}

std::optional<slot_table::index>
slot_table::find(const std::string& backend_server) const {
    const auto found = by_name_.find(backend_server);
    if (found == by_name_.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool slot_table::any_left(const request_needs& request) const {
    return std::any_of(
        servers_.begin(), servers_.end(), [&](const backend_slots& server) {
            return !server.vetoed() && may_run_on(request, server);
        });
}

bool slot_table::may_start(index place) const {
    return !servers_[place].vetoed();
}

attempt_ref slot_table::start(index place, time_point now, bool isolated) {
    backend_slots& server = servers_[place];
    if (server.health().watched() && server.health().sample_due(now)) {
        server.health().sample_taken(now, policy_);
    }
    server.start(++last_attempt_, now, isolated);
    turn_ = turn_ + 1 < usable_.size() ? turn_ + 1 : 0;
    return last_attempt_;
}

void slot_table::note_change(index place) {
    totals_.reset();
    const bool noted =
        std::find(changed_.begin(), changed_.end(), place) != changed_.end();
    if (!noted && !all_changed_) {
        changed_.push_back(place);
    }
}

std::optional<std::vector<slot_table::index>> slot_table::take_changed() {
    std::vector<index> changed = std::exchange(changed_, {});
    if (std::exchange(all_changed_, false)) {
        return std::nullopt;
    }
    return changed;
}

// What servers tell of one pace counts for how paces change only when little
// time lies between.
void slot_table::see(backend_slots& server, const backend_load& load,
                     time_point now) {
    if (server.seen()) {
        pace_.see(server.seen()->load.slowness, load.slowness,
                  now - server.seen()->at);
    }
    server.see(load, now);
}

// Requests that others run there, as after a restart of all instances, when
// several take themselves for a server's owner. Were its answers taken for
// those of a server that runs as few requests as ours, crowded ones would
// become the usual, and all servers be filled.
unsigned slot_table::of_others(const backend_slots& server,
                               const std::optional<backend_load>& load) {
    const unsigned ours = server.in_flight();
    return load && load->running > ours ? load->running - ours : 0;
}

// Whether a server's work goes by what runs when it begins, or by what runs all
// along, differs between servers. Only work that began and ended beside as many
// says how long it takes beside so many. On the users' servers it is the
// beginning: 97 ms beside one other (median of 5,531), 160 beside two, however
// many ran at the end. Counted by the larger number, every fifth that began
// beside two looked quick, and all servers were filled to the brim again and
// again, for four seconds at a time.
ended_attempt slot_table::finish(index place, attempt_ref attempt,
                                 attempt_verdict verdict,
                                 const std::optional<backend_load>& load,
                                 time_point now) {
    note_change(place);
    backend_slots& server = servers_[place];
    const unsigned others = of_others(server, load);
    const auto begun = server.finish(attempt, verdict, load, now, policy_);
    ended_attempt ended;
    ended.certain = false;
    if (attempt != 0 && !begun) {
        ended.of_former = true;
        return ended;
    }
    if (verdict == attempt_verdict::answered ||
        verdict == attempt_verdict::failed || load) {
        server.set_silent(false);
    }
    if (begun) {
        const unsigned slots = server.configured();
        ended.running = std::min(begun->running + others, slots);
        ended.roomy = crowding_profile::is_roomy(ended.running, slots);
        ended.fairly_roomy =
            crowding_profile::is_fairly_roomy(ended.running, slots);
        ended.crowding_log = crowding_.log_ratio(ended.running, slots);
        const double slowness =
            begun->told_before || !load ? begun->slowness : load->slowness;
        ended.log_factor = ended.crowding_log + std::log(slowness);
        ended.certain = !begun->told_before ||
                        pace_.holds(*begun->told_before) > certain_enough;
    }
    if (load) {
        see(server, *load, now);
    }
    return ended;
}

void slot_table::learn(index place, const ended_attempt& ended,
                       attempt_verdict verdict, double relative_log,
                       time_point now) {
    note_change(place);
    backend_slots& server = servers_[place];
    const bool telling = verdict == attempt_verdict::answered &&
                         ended.certain && !server.health().slow();
    if (telling && ended.comparable) {
        crowding_.add(ended.running, server.configured(),
                      std::clamp(relative_log + ended.crowding_log,
                                 -farthest_deviation, farthest_deviation));
    }
    server.health().add(verdict, relative_log, now, policy_);
}

void slot_table::release(index place, attempt_ref attempt, time_point now) {
    note_change(place);
    servers_[place].finish(attempt, attempt_verdict::cancelled, std::nullopt,
                           now, policy_);
}

void slot_table::probed(index place, const probe_ended& probe, time_point now) {
    note_change(place);
    backend_slots& server = servers_[place];
    // One that tells its load answers probes at once; others may let them wait
    // for a slot.
    server.set_silent(!probe.answered && server.seen());
    if (probe.load) {
        see(server, *probe.load, now);
    }
    if (probe.cold_for) {
        server.cold().set_cold_until(now + *probe.cold_for);
    }
}

// Free slots that just told that they are not slowed down, and slots in use, in
// one data centre.
struct slot_table::known_slots {
    unsigned prompt = 0;
    unsigned busy = 0;

    // Enough for what comes until more is heard: each answer brings word of
    // its server, so that the more runs the less has to be asked.
    bool enough() const {
        constexpr unsigned least = 4;
        return prompt >= std::max(least, busy / 2);
    }
};

std::map<std::string, slot_table::known_slots>
slot_table::known_by_centre(time_point now) const {
    std::map<std::string, known_slots> known;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        known_slots& here = known[server.data_centre()];
        here.busy += server.in_flight();
        const bool told =
            server.seen() && now - server.seen()->at < policy_.idle_probe_after;
        if (told && server.seen()->load.slowness <= prompt_slowness) {
            here.prompt += room(server, now);
        }
    }
    return known;
}

std::vector<std::string> slot_table::unheard(time_point now) const {
    const auto known = known_by_centre(now);
    std::vector<std::string> names;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        const duration wait = probe_after(server);
        const bool heard = server.seen() && now - server.seen()->at < wait;
        const bool worth_it =
            !pace_.known() || !known.at(server.data_centre()).enough();
        if (server.limit() > 0 && !heard && worth_it) {
            names.push_back(server.name());
        }
    }
    return names;
}

// How old word of that server may become.
duration slot_table::probe_after(const backend_slots& server) const {
    if (!pace_.known()) {
        return policy_.learning_probe_after;
    }
    const bool slowed =
        server.seen() && server.seen()->load.slowness > prompt_slowness;
    return slowed ? policy_.slowed_probe_after : policy_.idle_probe_after;
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
        if (const auto room = server.cold().next_room(now)) {
            consider(*room);
        }
        if (server.health().watched()) {
            consider(server.health().next_sample());
        }
    }
    return next;
}

} // namespace waxwingvale::decision
