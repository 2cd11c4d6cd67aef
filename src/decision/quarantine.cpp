#include <waxwingvale/decision/quarantine.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwingvale::decision {

namespace {

// Far longer than word takes, and shorter than any two trials are apart that do
// not begin at once.
constexpr duration word_takes = std::chrono::seconds(1);

} // namespace

suspicion_state quarantine::entry::state() const {
    if (proven_elsewhere || record.proves_crash()) {
        return suspicion_state::quarantined;
    }
    return record.is_suspect() ? suspicion_state::suspect
                               : suspicion_state::cleared;
}

quarantine::quarantine(std::string self, const quarantine_limits& limits)
    : self_(std::move(self)),
      limits_(limits),
      recent_answers_(limits.trust_period, limits.max_fingerprints) {}

bool quarantine::expired(const entry& known, time_point now) const {
    const bool cleared = known.state() == suspicion_state::cleared;
    const auto kept = cleared ? limits_.cleared_retention : limits_.retention;
    return now - known.changed_at >= kept;
}

quarantine::entry* quarantine::find(request_fingerprint fingerprint,
                                    time_point now) {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || expired(found->second, now)) {
        return nullptr;
    }
    return &found->second;
}

quarantine::entry* quarantine::find_or_add(request_fingerprint fingerprint,
                                           time_point now) {
    if (auto* known = find(fingerprint, now)) {
        return known;
    }
    entries_.erase(fingerprint); // one that has expired
    return make_room(now) ? &entries_[fingerprint] : nullptr;
}

quarantine_decision quarantine::admit(request_fingerprint fingerprint,
                                      time_point now) {
    auto* known = find(fingerprint, now);
    if (known == nullptr || known->state() == suspicion_state::cleared) {
        return run_normally{};
    }
    if (known->state() == suspicion_state::quarantined) {
        return refuse_quarantined{};
    }
    const auto* undecided = known->record.undecided_trial();
    if (undecided != nullptr && now - undecided->at < limits_.verdict_wait) {
        return refuse_suspect{known->tester, limits_.retry_after};
    }
    // Only one trial at a time, by one entry instance: a second trial of a
    // request that does crash its backend server would cost one more server.
    // The tester may have gone down itself, so after the reservation any entry
    // instance that receives a copy may run the trial.
    const auto until = reserved_until(*known);
    const bool reserved = known->tester != self_ && now < until;
    if (known->trial_running || reserved) {
        const auto left = std::max(until - now, limits_.retry_after);
        return refuse_suspect{known->tester, left};
    }
    known->trial_running = true;
    known->trial_began = now;
    known->tester = self_;
    known->trial_backend = backend_process{};
    return run_alone{known->record.latest_lost()->process.backend_server};
}

time_point quarantine::reserved_until(const entry& of) const {
    const auto since =
        std::max(of.changed_at, of.trial_began.value_or(of.changed_at));
    return since + limits_.trial_reservation;
}

std::optional<suspicion_update>
quarantine::update_on(request_fingerprint fingerprint, time_point now) {
    const auto* known = find(fingerprint, now);
    return known == nullptr
               ? std::nullopt
               : std::optional(update_for(fingerprint, *known, now));
}

std::optional<suspicion_state>
quarantine::state_of(request_fingerprint fingerprint, time_point now) {
    const auto* known = find(fingerprint, now);
    return known == nullptr ? std::nullopt : std::optional(known->state());
}

bool quarantine::may_run_in_company(request_fingerprint fingerprint,
                                    time_point now) {
    const auto* known = find(fingerprint, now);
    return known == nullptr || known->state() == suspicion_state::cleared;
}

bool quarantine::add_run(entry& to, const lost_run& run) {
    in_question_.insert(run.process.backend_server);
    return to.record.add(signs_.judged(run));
}

std::optional<suspicion_update> quarantine::on_connection_lost(
    request_fingerprint fingerprint, const backend_process& process, bool alone,
    time_point lost, time_point now, std::uint64_t variant) {
    const bool is_known = find(fingerprint, now) != nullptr;
    if (!is_known && !alone && recent_answers_.contains(fingerprint, now)) {
        return std::nullopt;
    }
    auto* known = find_or_add(fingerprint, now);
    if (known == nullptr) {
        return std::nullopt;
    }
    const bool was_suspect =
        is_known && known->state() == suspicion_state::suspect;
    known->tester = was_suspect ? std::min(known->tester, self_) : self_;
    known->changed_at = now;
    known->trial_running = known->trial_running && !alone;
    lost_run run;
    run.process = process;
    run.seen_by = self_;
    run.number = static_cast<std::uint64_t>(lost.time_since_epoch().count());
    run.alone = alone;
    run.at = lost;
    run.variant = variant;
    add_run(*known, run);
    return update_for(fingerprint, *known, now);
}

template <typename Change>
std::vector<suspicion_update> quarantine::change_all(time_point now,
                                                     Change change) {
    std::vector<suspicion_update> updates;
    for (auto& [fingerprint, known] : entries_) {
        if (!expired(known, now) && change(known.record)) {
            if (known.state() == suspicion_state::cleared) {
                known.changed_at = now;
            }
            updates.push_back(update_for(fingerprint, known, now));
        }
    }
    return updates;
}

std::vector<suspicion_update> quarantine::on_partitioned(time_point since,
                                                         time_point now) {
    return change_all(now, [&](crash_record& record) {
        return record.excuse_seen_by(self_, since);
    });
}

std::vector<suspicion_update>
quarantine::on_process_answered(const backend_process& process, time_point sent,
                                time_point now) {
    signs_.note_answer(process, sent);
    if (!asks_about(process.backend_server)) {
        return {};
    }
    return change_all(now, [&](crash_record& record) {
        const bool earlier_ended = record.settle_followed(process);
        return record.settle_survived(process, sent) || earlier_ended;
    });
}

std::vector<suspicion_update>
quarantine::on_process_ended(const backend_process& process, time_point now) {
    signs_.note_end(process, now);
    if (!asks_about(process.backend_server)) {
        return {};
    }
    return change_all(now, [&](crash_record& record) {
        return record.settle_ended(process);
    });
}

std::vector<suspicion_update>
quarantine::on_backend_died(const backend_process& died,
                            const std::vector<request_fingerprint>& in_flight,
                            time_point now) {
    for (const auto& fingerprint : in_flight) {
        const auto* known = find(fingerprint, now);
        const bool alone = known != nullptr && known->trial_running &&
                           known->trial_backend == died;
        on_connection_lost(fingerprint, died, alone, now, now);
    }
    on_process_ended(died, now);
    std::vector<suspicion_update> updates;
    for (const auto& fingerprint : in_flight) {
        if (const auto* known = find(fingerprint, now)) {
            updates.push_back(update_for(fingerprint, *known, now));
        }
    }
    return updates;
}

std::optional<suspicion_update>
quarantine::on_answered(request_fingerprint fingerprint, time_point now) {
    return on_answered(fingerprint, now, now);
}

std::optional<suspicion_update>
quarantine::on_answered(request_fingerprint fingerprint, time_point sent,
                        time_point now) {
    recent_answers_.add(fingerprint, now);
    auto* known = find(fingerprint, now);
    if (known == nullptr || known->state() != suspicion_state::suspect) {
        return std::nullopt;
    }
    known->record.clear(sent);
    if (known->state() != suspicion_state::cleared) {
        return std::nullopt;
    }
    known->trial_running = false;
    known->changed_at = now;
    return update_for(fingerprint, *known, now);
}

void quarantine::on_trial_placed(request_fingerprint fingerprint,
                                 const backend_process& backend) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && found->second.trial_running) {
        found->second.trial_backend = backend;
    }
}

void quarantine::on_trial_abandoned(request_fingerprint fingerprint) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end()) {
        found->second.trial_running = false;
    }
}

bool quarantine::merge_runs(entry& into, const suspicion_update& update,
                            time_point now) {
    bool changed = false;
    for (const auto& run : update.runs) {
        const lost_run told{run.process, run.seen_by,   run.number, run.alone,
                            run.verdict, now - run.age, run.variant};
        changed = add_run(into, told) || changed;
    }

    return changed;
}

// A peer of an older release takes each broken connection for an end; only its
// verdict is taken as it is, since nothing can be held against it.
bool quarantine::merge_state(entry& into, const suspicion_update& update,
                             time_point now) {
    switch (update.state) {
    case suspicion_state::suspect:
        return add_run(into, {update.last_crashed, update.tester, 0, false,
                              run_verdict::open, now - update.age, 0});
    case suspicion_state::cleared:
        return into.record.clear(now - update.age);
    case suspicion_state::quarantined:
        return !std::exchange(into.proven_elsewhere, true);
    }
    return false;
}

// Whoever began the latest trial is the one to wait for: were the first one by
// name, two instances would run trials at once after the tester is gone.
bool quarantine::merge_trial(entry& into, const suspicion_update& update,
                             time_point now) {
    if (!update.trial_age) {
        return false;
    }
    const auto began = now - *update.trial_age;
    // What is told again seems later by the time that word took.
    const bool is_later =
        !into.trial_began || began > *into.trial_began + word_takes;
    if (is_later) {
        into.trial_began = began;
        into.tester = update.tester;
    }
    return is_later;
}

bool quarantine::merge(const suspicion_update& update, time_point now) {
    if (update.age >= limits_.retention) {
        return false;
    }
    const bool is_known = find(update.fingerprint, now) != nullptr;
    const bool only_suspect = update.state == suspicion_state::suspect;
    if (!is_known && only_suspect &&
        recent_answers_.contains(update.fingerprint, now)) {
        return false;
    }
    auto* known = find_or_add(update.fingerprint, now);
    if (known == nullptr) {
        return false;
    }
    const auto before = known->state();
    const bool changed = update.runs.empty() ? merge_state(*known, update, now)
                                             : merge_runs(*known, update, now);
    if (!is_known || changed) {
        const bool was_suspect = is_known && before == suspicion_state::suspect;
        known->tester = was_suspect ? std::min(known->tester, update.tester)
                                    : update.tester;
        known->changed_at = std::max(known->changed_at, now - update.age);
    }
    const bool began = merge_trial(*known, update, now);
    return !is_known || changed || began;
}

bool quarantine::make_room(time_point now) {
    if (entries_.size() < limits_.max_fingerprints) {
        return true;
    }
    tick(now);
    if (entries_.size() < limits_.max_fingerprints) {
        return true;
    }
    // Quarantined fingerprints stay. Of the others, those go first under which
    // the fewest processes have ended: many requests are in flight when a data
    // centre fails, and must not push out one that goes on ending servers.
    auto least = entries_.end();
    const auto worth = [](const entry& of) {
        return std::make_tuple(of.state() == suspicion_state::suspect,
                               of.record.ended_processes(), of.changed_at);
    };
    for (auto at = entries_.begin(); at != entries_.end(); ++at) {
        if (at->second.state() != suspicion_state::quarantined &&
            (least == entries_.end() ||
             worth(at->second) < worth(least->second))) {
            least = at;
        }
    }
    if (least == entries_.end()) {
        return false;
    }
    entries_.erase(least);
    return true;
}

suspicion_update quarantine::update_for(request_fingerprint fingerprint,
                                        const entry& known,
                                        time_point now) const {
    suspicion_update update;
    update.fingerprint = fingerprint;
    update.state = known.state();
    update.tester = known.tester;
    update.age = now - known.changed_at;
    for (const auto& run : known.record.runs()) {
        update.runs.push_back({run.process, run.seen_by, run.number, run.alone,
                               run.verdict, now - run.at, run.variant});
    }
    if (const auto* latest = known.record.latest_lost()) {
        update.last_crashed = latest->process;
    }
    if (known.trial_began) {
        update.trial_age = now - *known.trial_began;
    }

    return update;
}

std::vector<suspicion_update> quarantine::snapshot(time_point now) const {
    std::vector<suspicion_update> updates;
    for (const auto& [fingerprint, known] : entries_) {
        const bool tells = known.state() != suspicion_state::cleared;
        if (tells && !expired(known, now)) {
            updates.push_back(update_for(fingerprint, known, now));
        }
    }
    return updates;
}

std::vector<std::uint64_t> quarantine::quarantined(time_point now) const {
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, known] : entries_) {
        if (known.state() == suspicion_state::quarantined &&
            !expired(known, now)) {
            found.push_back(fingerprint.value);
        }
    }
    return found;
}

void quarantine::tick(time_point now) {
    signs_.tick(now);
    in_question_.clear();
    for (auto at = entries_.begin(); at != entries_.end();) {
        if (expired(at->second, now)) {
            at = entries_.erase(at);
            continue;
        }
        for (const auto& run : at->second.record.runs()) {
            in_question_.insert(run.process.backend_server);
        }
        ++at;
    }
}

} // namespace waxwingvale::decision
