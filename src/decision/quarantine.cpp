#include <waxwingvale/decision/quarantine.hpp>

#include <algorithm>
#include <utility>

namespace waxwingvale::decision {

quarantine::quarantine(std::string self, const quarantine_limits& limits)
    : self_(std::move(self)),
      limits_(limits),
      recent_answers_(limits.trust_period, limits.max_fingerprints) {}

bool quarantine::expired(const entry& known, time_point now) const {
    return now - known.changed_at >= limits_.retention;
}

quarantine::entry* quarantine::find(request_fingerprint fingerprint,
                                    time_point now) {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || expired(found->second, now)) {
        return nullptr;
    }
    return &found->second;
}

quarantine_decision quarantine::admit(request_fingerprint fingerprint,
                                      time_point now) {
    auto* known = find(fingerprint, now);
    if (known == nullptr || known->state == suspicion_state::cleared) {
        return run_normally{};
    }
    if (known->state == suspicion_state::quarantined) {
        return refuse_quarantined{};
    }
    // Only one trial at a time, by one entry instance: a second trial of a
    // request that does crash its backend server would cost one more server.
    // The tester may have gone down itself, so after the reservation any entry
    // instance that receives a copy may run the trial.
    const auto reserved_until = known->changed_at + limits_.trial_reservation;
    const bool reserved = known->tester != self_ && now < reserved_until;
    if (known->trial_running || reserved) {
        const auto left = std::max(reserved_until - now, limits_.retry_after);
        return refuse_suspect{known->tester, left};
    }
    known->trial_running = true;
    known->trial_backend = backend_process{};
    return run_alone{known->last_crashed.backend_server};
}

std::vector<suspicion_update>
quarantine::on_backend_died(const backend_process& died,
                            const std::vector<request_fingerprint>& in_flight,
                            time_point now) {
    std::vector<suspicion_update> updates;
    for (const auto& fingerprint : in_flight) {
        auto* known = find(fingerprint, now);
        if (known == nullptr && recent_answers_.contains(fingerprint, now)) {
            continue;
        }
        const bool during_trial = known != nullptr && known->trial_running &&
                                  known->trial_backend == died;
        if (during_trial) {
            known->trial_running = false;
        }
        entry crash;
        crash.tester = self_;
        crash.last_crashed = died;
        crash.changed_at = now;
        record_crash(fingerprint, crash, during_trial);
        if (auto* after = find(fingerprint, now)) {
            updates.push_back(update_for(fingerprint, *after, now));
        }
    }
    return updates;
}

void quarantine::record_crash(request_fingerprint fingerprint,
                              const entry& crash, bool during_trial) {
    auto* known = find(fingerprint, crash.changed_at);
    if (known == nullptr || known->state == suspicion_state::cleared) {
        if (known == nullptr && !make_room(crash.changed_at)) {
            return;
        }
        entries_[fingerprint] = crash;
        return;
    }
    // Several entry instances may each report the same crash.
    const bool same_crash =
        !during_trial && known->last_crashed == crash.last_crashed;
    if (known->state == suspicion_state::quarantined || same_crash) {
        return;
    }
    if (during_trial) {
        known->state = suspicion_state::quarantined;
    }
    known->tester = std::min(known->tester, crash.tester);
    known->last_crashed = crash.last_crashed;
    known->changed_at = crash.changed_at;
}

std::optional<suspicion_update>
quarantine::on_answered(request_fingerprint fingerprint, time_point now) {
    recent_answers_.add(fingerprint, now);
    auto* known = find(fingerprint, now);
    if (known == nullptr || known->state != suspicion_state::suspect) {
        return std::nullopt;
    }
    known->state = suspicion_state::cleared;
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

bool quarantine::merge(const suspicion_update& update, time_point now) {
    entry received;
    received.state = update.state;
    received.tester = update.tester;
    received.last_crashed = update.last_crashed;
    received.changed_at = now - update.age;
    if (expired(received, now)) {
        return false;
    }
    auto* known = find(update.fingerprint, now);
    if (known == nullptr) {
        const bool only_suspect = update.state == suspicion_state::suspect;
        if (only_suspect && recent_answers_.contains(update.fingerprint, now)) {
            return false;
        }
        if (!make_room(now)) {
            return false;
        }
        entries_[update.fingerprint] = received;
        return true;
    }
    if (known->state == suspicion_state::quarantined) {
        return false;
    }
    if (update.state == suspicion_state::quarantined ||
        (update.state == suspicion_state::cleared &&
         known->state == suspicion_state::suspect &&
         received.changed_at >= known->changed_at)) {
        *known = received;
        return true;
    }
    if (update.state == suspicion_state::cleared ||
        known->last_crashed == received.last_crashed) {
        return false;
    }
    if (known->state == suspicion_state::cleared &&
        received.changed_at < known->changed_at) {
        return false;
    }
    record_crash(update.fingerprint, received, false);
    return true;
}

bool quarantine::make_room(time_point now) {
    if (entries_.size() < limits_.max_fingerprints) {
        return true;
    }
    tick(now);
    if (entries_.size() < limits_.max_fingerprints) {
        return true;
    }
    // Quarantined fingerprints stay; the oldest other entry is removed.
    auto oldest = entries_.end();
    for (auto at = entries_.begin(); at != entries_.end(); ++at) {
        if (at->second.state != suspicion_state::quarantined &&
            (oldest == entries_.end() ||
             at->second.changed_at < oldest->second.changed_at)) {
            oldest = at;
        }
    }
    if (oldest == entries_.end()) {
        return false;
    }
    entries_.erase(oldest);
    return true;
}

suspicion_update quarantine::update_for(request_fingerprint fingerprint,
                                        const entry& known,
                                        time_point now) const {
    suspicion_update update;
    update.fingerprint = fingerprint;
    update.state = known.state;
    update.tester = known.tester;
    update.last_crashed = known.last_crashed;
    update.age = now - known.changed_at;
    return update;
}

std::vector<suspicion_update> quarantine::snapshot(time_point now) const {
    std::vector<suspicion_update> updates;
    for (const auto& [fingerprint, known] : entries_) {
        if (!expired(known, now)) {
            updates.push_back(update_for(fingerprint, known, now));
        }
    }
    return updates;
}

std::vector<std::uint64_t> quarantine::quarantined(time_point now) const {
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, known] : entries_) {
        if (known.state == suspicion_state::quarantined &&
            !expired(known, now)) {
            found.push_back(fingerprint.value);
        }
    }
    return found;
}

void quarantine::tick(time_point now) {
    for (auto at = entries_.begin(); at != entries_.end();) {
        at = expired(at->second, now) ? entries_.erase(at) : std::next(at);
    }
}

} // namespace waxwingvale::decision
