#include <waxwingvale/membership/registry_table.hpp>

#include <algorithm>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

// A removal is remembered this long, against word of before that is late.
constexpr duration removal_keep = std::chrono::minutes(2);
// An entry outlasts three missed check-ins, so that none of a living server
// lapses in a shorter absence of the platform.
constexpr duration shortest_absence = std::chrono::milliseconds(1500);
// Entries that lapsed while the platform was away are back about two seconds
// after its return, if their servers live.
constexpr duration lapse_grace = std::chrono::milliseconds(2200);
// A removal is held no longer than this, also if the platform stays away.
constexpr duration longest_hold = std::chrono::seconds(10);

// No backend server has a name with a slash.
constexpr const char* evacuation_prefix = "evacuate/";

std::uint64_t hash_of(const registry_record& record) {
    return decision::stable_hash(record.name, record.revision);
}

} // namespace

registry_record evacuation_record(const std::string& data_centre,
                                  std::uint64_t revision) {
    registry_record record;
    record.name = evacuation_prefix + data_centre;
    record.revision = revision;
    record.entry.data_centre = data_centre;
    record.subject = registry_subject::evacuation;
    return record;
}

bool registry_table::is_evacuation(const std::string& name) const {
    return evacuations_.count(name) != 0;
}

std::vector<evacuation> registry_table::evacuations() const {
    std::vector<evacuation> orders;
    for (const auto& each : evacuations_) {
        orders.push_back(each.second);
    }
    return orders;
}

bool registry_table::merge(const registry_record& word, time_point now) {
    const auto known = records_.find(word.name);
    const auto gone = removed_.find(word.name);
    const auto revision = known != records_.end()  ? known->second.revision
                          : gone != removed_.end() ? gone->second.revision
                                                   : 0;
    if (word.revision <= revision) {
        return false;
    }
    if (!word.present) {
        remove(word.name, word.revision, now);
        return true;
    }
    // An order binds however many servers there are.
    const bool orders = word.subject == registry_subject::evacuation;
    if (!orders && known == records_.end() && records_.size() >= limit_) {
        return false;
    }
    if (known != records_.end()) {
        fingerprint_ ^= hash_of(known->second);
    }
    auto& taken = records_[word.name];
    taken = word;
    taken.taken_at = now;
    if (orders) {
        auto& order = evacuations_[word.name];
        const bool is_new = order.revision == 0;
        order = {word.entry.data_centre, word.revision,
                 is_new ? now : order.since};
    }
    fingerprint_ ^= hash_of(word);
    removed_.erase(word.name);
    held_.erase(word.name);
    changed(word.name);
    return true;
}

void registry_table::remove(const std::string& name, std::uint64_t revision,
                            time_point now) {
    const auto known = records_.find(name);
    if (known != records_.end()) {
        fingerprint_ ^= hash_of(known->second);
        records_.erase(known);
    }
    evacuations_.erase(name);
    held_.erase(name);
    removed_[name] = {revision, now};
    changed(name);
}

void registry_table::changed(const std::string& name) {
    changed_.insert(name);
    ++version_;
}

duration registry_table::answered(time_point now) const {
    return answered_before_ +
           (answers_since_ ? now - *answers_since_ : duration::zero());
}

void registry_table::platform_lost(time_point last_answer) {
    // A return for a moment does not end an absence.
    const bool was_there =
        !answers_since_ || last_answer - *answers_since_ >= shortest_absence;
    if (was_there) {
        lost_ = last_answer;
    }
    answered_before_ = answered(last_answer);
    answers_since_.reset();
}

void registry_table::platform_answered_other(time_point when) {
    if (answers_since_ || when <= lost_) {
        return;
    }
    if (when - lost_ >= shortest_absence) {
        returned_to_others_ = when;
    } else if (returned_to_others_ &&
               when - *returned_to_others_ >= lapse_grace) {
        returned_to_others_.reset();
    }
    lost_ = when;
}

void registry_table::platform_returned(time_point now) {
    if (!answers_since_) {
        answers_since_ = now;
    }
    if (now - lost_ >= shortest_absence) {
        returned_to_others_ = now;
    }
    if (const auto since = std::exchange(returned_to_others_, std::nullopt)) {
        hold_until_ = answered(now) + lapse_grace - (now - *since);
    }
}

void registry_table::take_change(const registry_record& change,
                                 time_point now) {
    // Entries of servers lapse, an operator's order does not.
    const bool hold = !change.present && answered(now) < hold_until_ &&
                      records_.count(change.name) != 0 &&
                      !is_evacuation(change.name);
    if (hold) {
        auto& held =
            held_.emplace(change.name, held_removal{0, hold_until_, now})
                .first->second;
        held.revision = std::max(held.revision, change.revision);
        return;
    }
    merge(change, now);
}

void registry_table::take_list(const std::vector<registry_record>& list,
                               std::uint64_t revision, time_point now) {
    std::set<std::string> named;
    for (const auto& each : list) {
        named.insert(each.name);
        merge(each, now);
    }
    std::vector<registry_record> missing;
    for (const auto& known : records_) {
        if (named.count(known.first) == 0 &&
            known.second.revision <= revision) {
            missing.push_back({known.first, revision, false, {}});
        }
    }
    for (auto& each : missing) {
        // Its last change may be the very revision of the list.
        each.revision =
            std::max(each.revision, records_.at(each.name).revision + 1);
        take_change(each, now);
    }
}

bool registry_table::tick(time_point now) {
    const auto before = version();
    const auto so_far = answered(now);
    std::vector<registry_record> due;
    for (const auto& [name, held] : held_) {
        if (held.until <= so_far || now - held.since >= longest_hold) {
            due.push_back({name, held.revision, false, {}});
        }
    }
    for (const auto& each : due) {
        held_.erase(each.name);
        merge(each, now);
    }
    for (auto at = removed_.begin(); at != removed_.end();) {
        const bool old = now - at->second.since >= removal_keep;
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
            changes.push_back({name, removed_.at(name).revision, false, {}});
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
            records.push_back({gone.first, gone.second.revision, false, {}});
        }
    }
    return records;
}

// Removals are left out: they are forgotten at different moments, and whoever
// missed one still has the record, which shows.
digest_buckets registry_table::digest() const {
    digest_buckets buckets{};
    for (const auto& known : records_) {
        buckets.at(bucket_of(known.first)) ^= hash_of(known.second);
    }
    return buckets;
}

} // namespace waxwingvale::membership
