#include "decision/slot_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

// Attempts are learned from only if the server's slowness at their start was
// known with at least this probability; otherwise the slowness would be taken
// for contention or for the typical time.
constexpr double min_report_validity = 0.6;
// A single answer that took many times longer must not make a number of
// concurrent requests look slow.
constexpr double max_log_deviation = 1.0;
// The longest time from sending a probe to its answer.
constexpr duration max_probe_time = std::chrono::milliseconds(300);

bool serves(const member& candidate) {
    return candidate.state == member_state::alive ||
           candidate.state == member_state::suspect;
}

// Number of instances that is assumed while no other instance is known.
// Instances that all start at the same time do not know each other for a few
// tenths of a second. If each used all slots, they would exceed the capacity of
// the service many times. Small deployments have 12 to 18 instances.
constexpr unsigned assumed_sharers = 16;

// Returns the number of instances that share the slots of an unreachable owner:
// the remaining owners, which other instances ask and callers are steered to;
// if there are none, all members. 0 if this instance has to ask an owner
// instead.
unsigned
sharers_of_unreachable_owner(const view_changed& view,
                             const std::unordered_set<std::string>& reachable,
                             const member_id& self) {
    if (!view.members_known) {
        return assumed_sharers;
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

std::optional<slot_table::index>
slot_table::find(const std::string& backend_server) const {
    const auto found = by_name_.find(backend_server);
    if (found == by_name_.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool slot_table::any_eligible(const request_arrived& request,
                              bool of_peer) const {
    return std::any_of(
        servers_.begin(), servers_.end(), [&](const backend_slots& server) {
            const send_limits& limits = server.limits();
            const bool in_time =
                of_peer || limits.rests_until() < request.deadline;
            return !limits.unavailable() && in_time &&
                   may_run_on(request, server);
        });
}

bool slot_table::any_open(time_point now) const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [now](const backend_slots& server) {
                           return !server.limits().unavailable() &&
                                  !server.limits().rests(now);
                       });
}

bool slot_table::may_start(index place, time_point now) const {
    const send_limits& limits = servers_[place].limits();
    return !limits.unavailable() && !limits.rests(now);
}

std::vector<std::string> slot_table::resting_servers(time_point now) const {
    std::vector<std::string> names;
    if (now >= any_rests_until_) {
        return names;
    }
    for (const backend_slots& server : servers_) {
        if (server.limits().rests(now)) {
            names.push_back(server.name());
        }
    }
    return names;
}

attempt_ref slot_table::start(index place, time_point now, bool isolated) {
    backend_slots& server = servers_[place];
    if (server.health().needs_sampling() && server.health().sample_due(now)) {
        server.health().sample_started(now, policy_);
    }
    server.start(++last_attempt_, now, isolated);
    next_start_ = next_start_ + 1 < usable_.size() ? next_start_ + 1 : 0;
    return last_attempt_;
}

void slot_table::mark_changed(index place) {
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

// Records a load report of the server, and the change of its slowness since the
// previous report. The model ignores changes between reports that are too far
// apart.
void slot_table::record_load(backend_slots& server, const backend_load& load,
                             time_point now) {
    if (server.last_load()) {
        slowness_model_.observe(server.last_load()->load.slowness,
                                load.slowness, now - server.last_load()->at);
    }
    server.record_load(load, now);
}

// Returns the number of requests that other instances run on the server. There
// are such requests after a restart of all instances, when several consider
// themselves the owner of a server. If they were ignored, response times under
// contention would be learned as the baseline, and all servers would be filled.
unsigned slot_table::others_running(const backend_slots& server,
                                    const std::optional<backend_load>& load) {
    const unsigned ours = server.in_flight();
    return load && load->running > ours ? load->running - ours : 0;
}

// Assigns the attempt to the number of requests that ran when it started.
// Servers differ in whether the service time depends on the concurrency at the
// start or throughout; only requests with equal concurrency at the start and at
// the end show the effect in both cases. On the backend servers of existing
// deployments the start matters: 97 ms beside one other request (median of
// 5,531), 160 ms beside two, whatever the number at the end. When the larger of
// both numbers was used, every fifth request that started beside two others
// looked fast, and all servers were repeatedly filled for four seconds at a
// time.
ended_attempt slot_table::finish(index place, attempt_ref attempt,
                                 const grant_use& use, time_point now) {
    mark_changed(place);
    backend_slots& server = servers_[place];
    const auto& load = use.load;
    const unsigned others = others_running(server, load);
    const auto started = server.finish(attempt, use, now, policy_);
    ended_attempt ended;
    ended.slowness_known = false;
    if (attempt != 0 && !started) {
        ended.of_previous_incarnation = true;
        return ended;
    }
    if (use.verdict == attempt_verdict::answered ||
        use.verdict == attempt_verdict::failed || load) {
        server.set_unresponsive(false);
    }
    if (started) {
        const unsigned slots = server.configured();
        ended.running = std::min(started->running + others, slots);
        ended.lightly_loaded =
            contention_profile::is_lightly_loaded(ended.running, slots);
        ended.moderately_loaded =
            contention_profile::is_moderately_loaded(ended.running, slots);
        ended.contention_log = contention_.log_slowdown(ended.running, slots);
        const double slowness =
            started->report_age || !load ? started->slowness : load->slowness;
        ended.log_slowdown = ended.contention_log + std::log(slowness);
        ended.slowness_known = !started->report_age ||
                               slowness_model_.probability_unchanged(
                                   *started->report_age) > min_report_validity;
    }
    if (load) {
        record_load(server, *load, now);
    }
    if (use.terms) {
        const time_point sent_at =
            started ? started->at : now - use.service_time;
        record_terms(place, *use.terms, sent_at, now);
        if (use.terms->rest) {
            server.health().add_rest(*use.terms->rest, now, policy_);
        }
    }
    return ended;
}

void slot_table::record_rest(index place, duration wanted, time_point now) {
    mark_changed(place);
    servers_[place].limits().rest(wanted, now);
    any_rests_until_ = std::max(any_rests_until_, now + wanted);
}

void slot_table::record_terms(index place, const backend_terms& terms,
                              time_point sent_at, time_point now) {
    send_limits& limits = servers_[place].limits();
    const auto rate = limits.named().rate();
    const bool unavailable = limits.unavailable();
    limits.record_answer(terms, sent_at, now);
    if (limits.named().rate() != rate || limits.unavailable() != unavailable) {
        clear_cached_sums();
    }
}

bool slot_table::may_probe(index place, time_point now) const {
    return servers_[place].limits().may_probe(now, policy_);
}

void slot_table::probe_started(index place, time_point now) {
    servers_[place].limits().record_probe(now);
}

void slot_table::learn(index place, const ended_attempt& ended,
                       attempt_verdict verdict, double log_ratio,
                       time_point now) {
    mark_changed(place);
    backend_slots& server = servers_[place];
    const bool informative = verdict == attempt_verdict::answered &&
                             ended.slowness_known && !server.health().slow();
    if (informative && ended.baseline_known) {
        contention_.add(ended.running, server.configured(),
                        std::clamp(log_ratio + ended.contention_log,
                                   -max_log_deviation, max_log_deviation));
    }
    server.health().add(verdict, log_ratio, now, policy_);
}

void slot_table::release(index place, attempt_ref attempt, time_point now) {
    mark_changed(place);
    grant_use unused;
    unused.verdict = attempt_verdict::cancelled;
    servers_[place].finish(attempt, unused, now, policy_);
}

void slot_table::probe_finished(index place, const probe_ended& probe,
                                time_point now) {
    mark_changed(place);
    backend_slots& server = servers_[place];
    // Servers that report their load answer probes at once. Other servers may
    // queue a probe until a slot is free, so that silence proves nothing.
    server.set_unresponsive(!probe.answered && server.last_load());
    if (probe.load) {
        record_load(server, *probe.load, now);
    }
    if (probe.cold_for) {
        server.limits().cold().set_cold_until(now + *probe.cold_for);
    }
    if (probe.terms) {
        server.limits().record_probe_answer(*probe.terms, now - max_probe_time,
                                            now);
        if (probe.terms->rest) {
            record_rest(place, *probe.terms->rest, now);
            server.health().add_rest(*probe.terms->rest, now, policy_);
        }
        clear_cached_sums();
    }
}

// Slots of one data centre: free ones on servers that recently reported normal
// speed, and slots in use.
struct slot_table::slot_counts {
    unsigned normal_speed = 0;
    unsigned busy = 0;

    // Whether there are enough slots for the requests until the next reports.
    // Each answer contains a load report, so that fewer probes are needed the
    // more requests run.
    bool is_sufficient() const {
        constexpr unsigned minimum = 4;
        return normal_speed >= std::max(minimum, busy / 2);
    }
};

std::map<std::string, slot_table::slot_counts>
slot_table::counts_by_data_centre(time_point now) const {
    std::map<std::string, slot_counts> known;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        slot_counts& here = known[server.data_centre()];
        here.busy += server.in_flight();
        const bool has_recent_report =
            server.last_load() &&
            now - server.last_load()->at < policy_.idle_probe_after;
        if (has_recent_report &&
            server.last_load()->load.slowness <= max_normal_slowness) {
            here.normal_speed += usable_slots(server, now);
        }
    }
    return known;
}

std::vector<std::string> slot_table::servers_to_probe(time_point now) const {
    const auto known = counts_by_data_centre(now);
    std::vector<std::string> names;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        const duration max_age = max_report_age(server);
        const bool is_recent =
            server.last_load() && now - server.last_load()->at < max_age;
        const bool is_needed = !slowness_model_.has_enough_data() ||
                               !known.at(server.data_centre()).is_sufficient();
        if (server.limit() > 0 && !is_recent && is_needed &&
            may_probe(place, now)) {
            names.push_back(server.name());
        }
    }
    return names;
}

// Returns the age at which a load report of the server is refreshed by a probe.
duration slot_table::max_report_age(const backend_slots& server) const {
    if (!slowness_model_.has_enough_data()) {
        return policy_.learning_probe_after;
    }
    const bool slowed = server.last_load() &&
                        server.last_load()->load.slowness > max_normal_slowness;
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
        if (const auto change = server.limits().next_change(now)) {
            consider(*change);
        }
        if (server.health().needs_sampling()) {
            consider(server.health().next_sample());
        }
    }
    return next;
}

} // namespace waxwingvale::decision
