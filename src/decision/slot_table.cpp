#include "decision/slot_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

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
                       attempt_verdict verdict, std::optional<double> log_ratio,
                       time_point now) {
    mark_changed(place);
    backend_slots& server = servers_[place];
    const bool informative = verdict == attempt_verdict::answered &&
                             log_ratio && ended.slowness_known &&
                             !server.health().slow();
    if (informative && ended.baseline_known) {
        contention_.add(ended.running, server.configured(),
                        std::clamp(*log_ratio + ended.contention_log,
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
