#include <waxwingvale/membership/registry_table.hpp>

#include <algorithm>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

// Removals are remembered this long, to reject late records from before them.
constexpr duration removal_retention = std::chrono::minutes(2);
// Shorter outages of the platform have no effect: a registration expires only
// after three missed check-ins, so that none of a live server expires in them.
constexpr duration min_outage = std::chrono::milliseconds(1500);
// Live servers whose registrations expired during an outage of the platform
// have registered again about two seconds after it.
constexpr duration reregistration_grace = std::chrono::milliseconds(2200);
// A removal is held no longer than this, even if the platform does not answer.
constexpr duration max_hold = std::chrono::seconds(10);

// Distinct from all names of backend servers, which contain no slash.
constexpr const char* evacuation_prefix = "evacuate/";

// Without eras the hash is that of earlier releases.
std::uint64_t hash_of(const registry_record& record) {
    const auto& stamp = record.stamp;
    return decision::stable_hash(
        record.name, stamp.era == 0
                         ? stamp.revision
                         : decision::combine_hashes(stamp.era, stamp.revision));
}

publication_state state_of(const registry_record& record) {
    return {record.stamp, record.present};
}

} // namespace

registry_record make_evacuation_record(const std::string& data_centre,
                                       const publication_stamp& stamp) {
    registry_record record;
    record.name = evacuation_prefix + data_centre;
    record.stamp = stamp;
    record.entry.data_centre = data_centre;
    record.subject = registry_subject::evacuation;
    return record;
}

bool registry_table::is_evacuation(const std::string& name) const {
    return evacuations_.count(name) != 0;
}

std::vector<evacuation> registry_table::evacuations() const {
    std::vector<evacuation> all;
    for (const auto& each : evacuations_) {
        all.push_back(each.second);
    }
    return all;
}

std::optional<publication_state>
registry_table::known_state(const std::string& name) const {
    const auto known = records_.find(name);
    if (known != records_.end()) {
        return state_of(known->second);
    }
    const auto gone = removed_.find(name);
    if (gone != removed_.end()) {
        return publication_state{gone->second.stamp, false};
    }
    return std::nullopt;
}

bool registry_table::merge(const registry_record& update, time_point now) {
    const auto before = known_state(update.name).value_or(publication_state());
    if (!is_newer(state_of(update), before)) {
        return false;
    }
    const auto known = records_.find(update.name);
    if (!update.present) {
        remove(update.name, update.stamp, now);
        return true;
    }
    // Evacuations are accepted even when the table is full.
    const bool is_evacuation_record =
        update.subject == registry_subject::evacuation;
    if (known == records_.end() && !make_room_for(update)) {
        return false;
    }
    if (known != records_.end()) {
        fingerprint_ ^= hash_of(known->second);
    }
    auto& stored = records_[update.name];
    stored = update;
    stored.received_at = now;
    if (is_evacuation_record) {
        auto& known_evacuation = evacuations_[update.name];
        const bool is_new = known_evacuation.revision == 0;
        known_evacuation = {update.entry.data_centre, update.stamp.revision,
                            is_new ? now : known_evacuation.since};
    }
    fingerprint_ ^= hash_of(update);
    removed_.erase(update.name);
    held_.erase(update.name);
    mark_changed(update.name);
    return true;
}

void registry_table::set_services(std::set<std::string> services) {
    services_ = std::move(services);
}

bool registry_table::is_used(const registry_record& record) const {
    return record.subject == registry_subject::evacuation ||
           services_.count(record.entry.service) != 0;
}

bool registry_table::make_room_for(const registry_record& record) {
    if (records_.size() < limit_ ||
        record.subject == registry_subject::evacuation) {
        return true;
    }
    if (!is_used(record)) {
        return false;
    }
    const auto unused = std::find_if(
        records_.begin(), records_.end(),
        [this](const auto& each) { return !is_used(each.second); });
    if (unused == records_.end()) {
        return false;
    }
    fingerprint_ ^= hash_of(unused->second);
    changed_.erase(unused->first);
    listed_.erase(unused->first);
    records_.erase(unused);
    return true;
}

// A removal is counted like the last write before it, as the platform tells no
// count of it.
void registry_table::remove(const std::string& name, publication_stamp stamp,
                            time_point now) {
    const auto before = known_state(name);
    if (before && stamp.writes == 0) {
        stamp.writer = before->stamp.writer;
        stamp.writes = before->stamp.writes;
    }
    if (!before && removed_.size() >= limit_) {
        return;
    }
    const auto known = records_.find(name);
    if (known != records_.end()) {
        fingerprint_ ^= hash_of(known->second);
        records_.erase(known);
    }
    evacuations_.erase(name);
    held_.erase(name);
    removed_[name] = {stamp, now};
    mark_changed(name);
}

void registry_table::mark_changed(const std::string& name) {
    changed_.insert(name);
    ++version_;
}

duration registry_table::answering_time(time_point now) const {
    return earlier_answering_time_ +
           (answering_since_ ? now - *answering_since_ : duration::zero());
}

void registry_table::mark_platform_unreachable(time_point last_answer) {
    // A brief return of the platform does not end an outage.
    const bool starts_new_outage =
        !answering_since_ || last_answer - *answering_since_ >= min_outage;
    if (starts_new_outage) {
        last_answer_at_ = last_answer;
    }
    earlier_answering_time_ = answering_time(last_answer);
    answering_since_.reset();
}

void registry_table::platform_answered_other(time_point when) {
    if (answering_since_ || when <= last_answer_at_) {
        return;
    }
    if (when - last_answer_at_ >= min_outage) {
        outage_ended_at_ = when;
    } else if (outage_ended_at_ &&
               when - *outage_ended_at_ >= reregistration_grace) {
        outage_ended_at_.reset();
    }
    last_answer_at_ = when;
}

void registry_table::mark_platform_reachable(time_point now) {
    if (!answering_since_) {
        answering_since_ = now;
    }
    if (now - last_answer_at_ >= min_outage) {
        outage_ended_at_ = now;
    }
    if (const auto since = std::exchange(outage_ended_at_, std::nullopt)) {
        hold_until_ =
            answering_time(now) + reregistration_grace - (now - *since);
    }
}

void registry_table::apply_change(const registry_record& change,
                                  time_point now) {
    // Only registrations expire; the removal of an evacuation is an operator's
    // decision and is not held.
    const bool held = !change.present && answering_time(now) < hold_until_ &&
                      records_.count(change.name) != 0 &&
                      !is_evacuation(change.name);
    if (held) {
        hold(change, hold_until_, now);
    } else {
        merge(change, now);
    }
}

void registry_table::hold(const registry_record& change, duration until,
                          time_point now) {
    auto& held = held_.emplace(change.name, held_change{change, until, now})
                     .first->second;
    if (is_newer(state_of(change), state_of(held.change))) {
        held.change = change;
    }
}

std::vector<registry_record>
registry_table::missing_from_list(const publication_stamp& as_of) const {
    std::vector<registry_record> missing;
    for (const auto& [name, record] : records_) {
        const auto& known = record.stamp;
        const bool in_list_then =
            known.era < as_of.era ||
            (known.era == as_of.era && known.revision <= as_of.revision);
        if (listed_.count(name) != 0 || !in_list_then) {
            continue;
        }
        auto removed_at = as_of;
        if (known.era == as_of.era) {
            // Its last change may have the same revision as the list.
            removed_at.revision = std::max(as_of.revision, known.revision + 1);
        }
        missing.push_back({name, removed_at, false, {}});
    }
    return missing;
}

void registry_table::apply_list(const std::vector<registry_record>& list,
                                const publication_stamp& as_of,
                                time_point now) {
    begin_list(now);
    for (const auto& each : list) {
        add_listed(each, now);
    }
    end_list(as_of, now);
}

void registry_table::begin_list(time_point now) {
    if (!answering_since_) {
        answering_since_ = now;
    }
    listed_.clear();
}

void registry_table::add_listed(const registry_record& record, time_point now) {
    const auto known = known_state(record.name);
    if (known && may_be_older_copy(state_of(record), *known)) {
        hold(record, answering_time(now) + reregistration_grace, now);
    } else {
        merge(record, now);
    }
    if (records_.count(record.name) != 0) {
        listed_.insert(record.name);
    }
}

void registry_table::end_list(const publication_stamp& as_of, time_point now) {
    const auto written_again_by = answering_time(now) + reregistration_grace;
    for (const auto& each : missing_from_list(as_of)) {
        if (records_.at(each.name).stamp.era < as_of.era) {
            hold(each, written_again_by, now);
        } else {
            apply_change(each, now);
        }
    }
    listed_.clear();
}

bool registry_table::tick(time_point now) {
    const auto before = version();
    const auto answering_time_now = answering_time(now);
    std::vector<registry_record> due;
    for (const auto& [name, held] : held_) {
        if (held.until <= answering_time_now || now - held.since >= max_hold) {
            due.push_back(held.change);
        }
    }
    for (const auto& each : due) {
        held_.erase(each.name);
        merge(each, now);
    }
    for (auto at = removed_.begin(); at != removed_.end();) {
        const bool old = now - at->second.since >= removal_retention;
        at = old ? removed_.erase(at) : std::next(at);
    }
    return version() != before;
}

std::vector<registry_record> registry_table::take_changes() {
    std::vector<registry_record> changes;
    for (const auto& name : std::exchange(changed_, {})) {
        const auto known = records_.find(name);
        if (known != records_.end()) {
            changes.push_back(known->second);
        } else if (removed_.count(name) != 0) {
            changes.push_back({name, removed_.at(name).stamp, false, {}});
        }
    }
    return changes;
}

std::vector<registry_record>
registry_table::in_buckets(const bucket_set& buckets) const {
    std::vector<registry_record> records;
    for (const auto& known : records_) {
        if (buckets.test(bucket_of(known.first))) {
            records.push_back(known.second);
        }
    }
    for (const auto& gone : removed_) {
        if (buckets.test(bucket_of(gone.first))) {
            records.push_back({gone.first, gone.second.stamp, false, {}});
        }
    }
    return records;
}

// Removals are not hashed: instances forget them at different times, and an
// instance that missed a removal still has the record, so its digest differs.
digest_buckets registry_table::digest() const {
    digest_buckets buckets{};
    for (const auto& known : records_) {
        buckets.at(bucket_of(known.first)) ^= hash_of(known.second);
    }
    return buckets;
}

} // namespace waxwingvale::membership
