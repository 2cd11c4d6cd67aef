#include <waxwingvale/membership/belief_table.hpp>

#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

// Observer, source and moment are left out: two instances that saw the same
// thing at once have no difference to settle.
std::uint64_t hash_of(const belief_record& record) {
    auto hash =
        decision::stable_hash(record.backend_server, record.incarnation);
    hash = decision::combine_hashes(hash, record.version);
    const std::uint64_t word =
        (record.dead ? 2U : 0U) + (record.leaving ? 1U : 0U);
    return decision::combine_hashes(hash, word);
}

bool is_own_evidence_of_life(const backend_belief& seen) {
    return seen.state != backend_state::dead &&
           (seen.source == belief_source::traffic ||
            seen.source == belief_source::probe);
}

void sign(belief_record& record, const backend_belief& seen) {
    record.source = seen.source;
    record.observer = seen.observer;
    record.since = seen.since;
}

} // namespace

backend_belief to_belief(const belief_record& record) {
    auto state = backend_state::serving;
    if (record.dead) {
        state = backend_state::dead;
    } else if (record.leaving) {
        state = backend_state::leaving;
    }
    return {record.backend_server, record.incarnation, state,
            record.source,         record.observer,    record.since};
}

bool belief_table::observe(const backend_belief& seen) {
    const auto found = records_.find(seen.backend_server);
    if (found == records_.end() ||
        seen.incarnation > found->second.incarnation) {
        return observe_new_life(seen);
    }
    if (is_of_former(seen.incarnation, found->second.incarnation)) {
        ++counters_.outdated;
        return false;
    }
    return observe_same_life(found->second, seen);
}

bool belief_table::observe_new_life(const backend_belief& seen) {
    if (!has_room(seen.backend_server)) {
        return false;
    }
    belief_record record;
    record.backend_server = seen.backend_server;
    record.incarnation = seen.incarnation;
    record.dead = seen.state == backend_state::dead;
    record.leaving = seen.state == backend_state::leaving;
    sign(record, seen);
    records_[seen.backend_server] = std::move(record);
    changed(seen.backend_server);
    return true;
}

bool belief_table::observe_same_life(belief_record& known,
                                     const backend_belief& seen) {
    bool differs = false;
    if (seen.state == backend_state::leaving && !known.leaving) {
        known.leaving = true;
        sign(known, seen);
        differs = true;
    }
    if (seen.state == backend_state::dead && !known.dead) {
        differs = turn(known, true, seen) || differs;
    } else if (known.dead && is_own_evidence_of_life(seen)) {
        differs = turn(known, false, seen) || differs;
    }
    if (differs) {
        changed(known.backend_server);
    }
    return differs;
}

// An answer that was under way when the backend server died says nothing
// about it now, and a refusal from before it answered nothing either; both
// show as seen before what is known was. The platform's list is no such
// sight.
bool belief_table::turn(belief_record& known, bool dead,
                        const backend_belief& seen) {
    const bool known_by_sight =
        known.dead || known.source != belief_source::platform_list;
    if (known_by_sight && seen.since < known.since) {
        ++counters_.outdated;
        return false;
    }
    known.dead = dead;
    ++known.version;
    sign(known, seen);
    return true;
}

bool belief_table::merge(const belief_record& word) {
    const auto found = records_.find(word.backend_server);
    const bool new_life =
        found == records_.end() || word.incarnation > found->second.incarnation;
    if (new_life) {
        if (!has_room(word.backend_server)) {
            return false;
        }
        records_[word.backend_server] = word;
        changed(word.backend_server);
        return true;
    }
    auto& known = found->second;
    if (word.incarnation < known.incarnation) {
        ++counters_.outdated;
        return false;
    }
    const bool leaving = known.leaving || word.leaving;
    const bool later =
        word.version > known.version ||
        (word.version == known.version && word.dead && !known.dead);
    const bool differs = later || leaving != known.leaving;
    if (!differs) {
        return false;
    }
    if (later) {
        known = word;
    } else {
        known.source = word.source;
        known.observer = word.observer;
        known.since = word.since;
    }
    known.leaving = leaving;
    changed(word.backend_server);
    return true;
}

bool belief_table::has_room(const std::string& backend_server) {
    const bool room =
        records_.size() < limit_ || records_.count(backend_server) > 0;
    if (!room) {
        ++counters_.over_limit;
    }
    return room;
}

void belief_table::changed(const std::string& backend_server) {
    ++counters_.changes;
    changed_.insert(backend_server);
}

void belief_table::retain(const std::set<std::string>& named, duration keep,
                          time_point now) {
    for (auto at = records_.begin(); at != records_.end();) {
        const bool forget =
            named.count(at->first) == 0 && now - at->second.since >= keep;
        at = forget ? records_.erase(at) : std::next(at);
    }
}

const belief_record*
belief_table::find(const std::string& backend_server) const {
    const auto found = records_.find(backend_server);
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<belief_record> belief_table::records() const {
    std::vector<belief_record> all;
    for (const auto& each : records_) {
        all.push_back(each.second);
    }
    return all;
}

std::vector<belief_record> belief_table::take_changes() {
    std::vector<belief_record> changes;
    for (const auto& name : std::exchange(changed_, {})) {
        if (const auto* record = find(name)) {
            changes.push_back(*record);
        }
    }
    return changes;
}

std::vector<belief_record>
belief_table::in_buckets(const bucket_set& buckets) const {
    std::vector<belief_record> records;
    for (const auto& [name, record] : records_) {
        if (buckets.test(bucket_of(name))) {
            records.push_back(record);
        }
    }
    return records;
}

digest_buckets belief_table::digest() const {
    digest_buckets buckets{};
    for (const auto& [name, record] : records_) {
        buckets.at(bucket_of(name)) ^= hash_of(record);
    }
    return buckets;
}

} // namespace waxwingvale::membership
