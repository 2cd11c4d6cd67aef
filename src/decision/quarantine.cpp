#include <waxwingvale/decision/quarantine.hpp>

#include <algorithm>
#include <utility>

namespace waxwingvale::decision {

quarantine::quarantine(std::string self, const quarantine_limits& limits)
    : self_(std::move(self)),
      limits_(limits),
      passed_(limits.trusted_for, limits.fingerprints) {}

bool quarantine::expired(const entry& of, time_point now) const {
    return now - of.since >= limits_.kept_for;
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
    // One trial at a time, by one entry instance: two trials of a request that
    // does kill would cost one backend server more. The tester may be gone
    // itself, so after a while whoever gets a copy may try it.
    const auto reserved_until = known->since + limits_.reserved_for;
    const bool reserved = known->tester != self_ && now < reserved_until;
    if (known->trial || reserved) {
        const auto left = std::max(reserved_until - now, limits_.come_back_in);
        return refuse_suspect{known->tester, left};
    }
    known->trial = true;
    known->trial_on = backend_life{};
    return run_alone{known->died.backend_server};
}

std::vector<suspicion_word>
quarantine::on_backend_died(const backend_life& died,
                            const std::vector<request_fingerprint>& in_flight,
                            time_point now) {
    std::vector<suspicion_word> words;
    for (const auto& fingerprint : in_flight) {
        auto* known = find(fingerprint, now);
        if (known == nullptr && passed_.contains(fingerprint, now)) {
            continue;
        }
        const bool alone =
            known != nullptr && known->trial && known->trial_on == died;
        if (alone) {
            known->trial = false;
        }
        entry death;
        death.tester = self_;
        death.died = died;
        death.since = now;
        add_death(fingerprint, death, alone);
        if (auto* after = find(fingerprint, now)) {
            words.push_back(word_for(fingerprint, *after, now));
        }
    }
    return words;
}

void quarantine::add_death(request_fingerprint fingerprint, const entry& death,
                           bool alone) {
    auto* known = find(fingerprint, death.since);
    if (known == nullptr || known->state == suspicion_state::cleared) {
        if (known == nullptr && !make_room(death.since)) {
            return;
        }
        entries_[fingerprint] = death;
        return;
    }
    // Several entry instances tell of one death, each in its own words.
    const bool same_death = !alone && known->died == death.died;
    if (known->state == suspicion_state::quarantined || same_death) {
        return;
    }
    if (alone) {
        known->state = suspicion_state::quarantined;
    }
    known->tester = std::min(known->tester, death.tester);
    known->died = death.died;
    known->since = death.since;
}

std::optional<suspicion_word>
quarantine::on_passed(request_fingerprint fingerprint, time_point now) {
    passed_.add(fingerprint, now);
    auto* known = find(fingerprint, now);
    if (known == nullptr || known->state != suspicion_state::suspect) {
        return std::nullopt;
    }
    known->state = suspicion_state::cleared;
    known->trial = false;
    known->since = now;
    return word_for(fingerprint, *known, now);
}

void quarantine::on_trial_placed(request_fingerprint fingerprint,
                                 const backend_life& on) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && found->second.trial) {
        found->second.trial_on = on;
    }
}

void quarantine::on_trial_abandoned(request_fingerprint fingerprint) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end()) {
        found->second.trial = false;
    }
}

bool quarantine::merge(const suspicion_word& word, time_point now) {
    entry heard;
    heard.state = word.state;
    heard.tester = word.tester;
    heard.died = word.died;
    heard.since = now - word.age;
    if (expired(heard, now)) {
        return false;
    }
    auto* known = find(word.fingerprint, now);
    if (known == nullptr) {
        const bool mere_suspicion = word.state == suspicion_state::suspect;
        if (mere_suspicion && passed_.contains(word.fingerprint, now)) {
            return false;
        }
        if (!make_room(now)) {
            return false;
        }
        entries_[word.fingerprint] = heard;
        return true;
    }
    if (known->state == suspicion_state::quarantined) {
        return false;
    }
    if (word.state == suspicion_state::quarantined ||
        (word.state == suspicion_state::cleared &&
         known->state == suspicion_state::suspect &&
         heard.since >= known->since)) {
        *known = heard;
        return true;
    }
    if (word.state == suspicion_state::cleared || known->died == heard.died) {
        return false;
    }
    if (known->state == suspicion_state::cleared &&
        heard.since < known->since) {
        return false;
    }
    add_death(word.fingerprint, heard, false);
    return true;
}

bool quarantine::make_room(time_point now) {
    if (entries_.size() < limits_.fingerprints) {
        return true;
    }
    tick(now);
    if (entries_.size() < limits_.fingerprints) {
        return true;
    }
    // What is proved stays; the oldest suspicion goes.
    auto oldest = entries_.end();
    for (auto at = entries_.begin(); at != entries_.end(); ++at) {
        if (at->second.state != suspicion_state::quarantined &&
            (oldest == entries_.end() ||
             at->second.since < oldest->second.since)) {
            oldest = at;
        }
    }
    if (oldest == entries_.end()) {
        return false;
    }
    entries_.erase(oldest);
    return true;
}

suspicion_word quarantine::word_for(request_fingerprint fingerprint,
                                    const entry& of, time_point now) const {
    suspicion_word word;
    word.fingerprint = fingerprint;
    word.state = of.state;
    word.tester = of.tester;
    word.died = of.died;
    word.age = now - of.since;
    return word;
}

std::vector<suspicion_word> quarantine::words(time_point now) const {
    std::vector<suspicion_word> words;
    for (const auto& [fingerprint, known] : entries_) {
        if (!expired(known, now)) {
            words.push_back(word_for(fingerprint, known, now));
        }
    }
    return words;
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
