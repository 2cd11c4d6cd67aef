#include <waxwingvale/membership/belief_table.hpp>

#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

// Observer, source and time are not hashed: if two instances observe the same
// change independently, their records need no reconciliation.
std::uint64_t hash_of(const belief_record& record) {
    auto hash =
        decision::stable_hash(record.backend_server, record.incarnation);
    hash = decision::combine_hashes(hash, record.version);
    const std::uint64_t state_bits =
        (record.dead ? 2U : 0U) + (record.leaving ? 1U : 0U);
    return decision::combine_hashes(hash, state_bits);
}

bool is_direct_evidence_of_life(const backend_belief& observation) {
    return observation.state != backend_state::dead &&
           (observation.source == belief_source::traffic ||
            observation.source == belief_source::probe);
}

void set_observation(belief_record& record, const backend_belief& observation) {
    record.source = observation.source;
    record.observer = observation.observer;
    record.since = observation.since;
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

bool belief_table::observe(const backend_belief& observation) {
    const auto found = records_.find(observation.backend_server);
    if (found == records_.end() ||
        observation.incarnation > found->second.incarnation) {
        return observe_new_incarnation(observation);
    }
    if (is_of_former(observation.incarnation, found->second.incarnation)) {
        ++counters_.outdated;
        return false;
    }
    return observe_same_incarnation(found->second, observation);
}

bool belief_table::observe_new_incarnation(const backend_belief& observation) {
    if (!has_room(observation.backend_server)) {
        return false;
    }
    belief_record record;
    record.backend_server = observation.backend_server;
    record.incarnation = observation.incarnation;
    record.dead = observation.state == backend_state::dead;
    record.leaving = observation.state == backend_state::leaving;
    set_observation(record, observation);
    records_[observation.backend_server] = std::move(record);
    mark_changed(observation.backend_server);
    return true;
}

bool belief_table::observe_same_incarnation(belief_record& known,
                                            const backend_belief& observation) {
    bool differs = false;
    if (observation.state == backend_state::leaving && !known.leaving) {
        known.leaving = true;
        set_observation(known, observation);
        differs = true;
    }
    if (observation.state == backend_state::dead && !known.dead) {
        differs = set_dead(known, true, observation) || differs;
    } else if (known.dead && is_direct_evidence_of_life(observation)) {
        differs = set_dead(known, false, observation) || differs;
    }
    if (differs) {
        mark_changed(known.backend_server);
    }
    return differs;
}

// Ignores observations that are older than the recorded one: an answer that was
// in flight when the backend server died, or a refusal from before it answered,
// says nothing about its present state. A serving state that is known only from
// the platform's list is not an observation and does not outdate others.
bool belief_table::set_dead(belief_record& known, bool dead,
                            const backend_belief& observation) {
    const bool known_by_observation =
        known.dead || known.source != belief_source::platform_list;
    if (known_by_observation && observation.since < known.since) {
        ++counters_.outdated;
        return false;
    }
    known.dead = dead;
    ++known.version;
    set_observation(known, observation);
    return true;
}

bool belief_table::merge(const belief_record& update) {
    const auto found = records_.find(update.backend_server);
    const bool new_incarnation = found == records_.end() ||
                                 update.incarnation > found->second.incarnation;
    if (new_incarnation) {
        if (!has_room(update.backend_server)) {
            return false;
        }
        records_[update.backend_server] = update;
        mark_changed(update.backend_server);
        return true;
    }
    auto& known = found->second;
    if (update.incarnation < known.incarnation) {
        ++counters_.outdated;
        return false;
    }
    const bool leaving = known.leaving || update.leaving;
    const bool later =
        update.version > known.version ||
        (update.version == known.version && update.dead && !known.dead);
    const bool differs = later || leaving != known.leaving;
    if (!differs) {
        return false;
    }
    if (later) {
        known = update;
    } else {
        known.source = update.source;
        known.observer = update.observer;
        known.since = update.since;
    }
    known.leaving = leaving;
    mark_changed(update.backend_server);
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

void belief_table::mark_changed(const std::string& backend_server) {
    ++counters_.changes;
    changed_.insert(backend_server);
}

void belief_table::retain(const std::set<std::string>& configured,
                          duration keep, time_point now) {
    for (auto at = records_.begin(); at != records_.end();) {
        const bool forget =
            configured.count(at->first) == 0 && now - at->second.since >= keep;
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
