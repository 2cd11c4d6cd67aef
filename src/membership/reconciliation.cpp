#include "membership/reconciliation.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace waxwingvale::membership {

namespace {

std::uint64_t fingerprint_of(const digest_buckets& buckets) {
    std::uint64_t all = 0;
    for (const auto bucket : buckets) {
        all ^= bucket;
    }
    return all;
}

std::vector<unsigned> differing(const digest_buckets& a,
                                const digest_buckets& b) {
    std::vector<unsigned> buckets;
    for (unsigned bucket = 0; bucket < bucket_count; ++bucket) {
        if (a.at(bucket) != b.at(bucket)) {
            buckets.push_back(bucket);
        }
    }
    return buckets;
}

bucket_set set_of(const std::vector<unsigned>& buckets) {
    bucket_set set;
    for (const auto bucket : buckets) {
        set.set(bucket);
    }
    return set;
}

// Finds the buckets of the table whose hashes differ from `theirs`, and copies
// their records.
template <typename Table, typename Record>
void collect_differing(const Table& table,
                       const std::optional<digest_buckets>& theirs,
                       std::vector<unsigned>& buckets,
                       std::vector<Record>& records) {
    if (theirs) {
        buckets = differing(table.digest(), *theirs);
        records = table.in_buckets(set_of(buckets));
    }
}

const std::string& name_of(const member_record& record) {
    return record.id.name;
}

const std::string& name_of(const belief_record& record) {
    return record.backend_server;
}

const std::string& name_of(const registry_record& record) {
    return record.name;
}

bool same_version(const member_record& a, const member_record& b) {
    return a == b;
}

bool same_version(const belief_record& a, const belief_record& b) {
    return a.incarnation == b.incarnation && a.version == b.version &&
           a.dead == b.dead && a.leaving == b.leaving;
}

bool same_version(const registry_record& a, const registry_record& b) {
    return a.stamp == b.stamp;
}

// The table's records in `buckets` that `theirs` lacks or has in another
// version.
template <typename Table, typename Record>
std::vector<Record> missing_or_different(const Table& table,
                                         const std::vector<unsigned>& buckets,
                                         const std::vector<Record>& theirs) {
    if (buckets.empty()) {
        return {};
    }
    std::unordered_map<std::string_view, const Record*> by_name;
    for (const auto& each : theirs) {
        by_name.emplace(name_of(each), &each);
    }
    std::vector<Record> newer;
    for (auto& mine : table.in_buckets(set_of(buckets))) {
        const auto found = by_name.find(name_of(mine));
        if (found == by_name.end() || !same_version(*found->second, mine)) {
            newer.push_back(std::move(mine));
        }
    }
    return newer;
}

bool has_verdict(const std::vector<crash_verdict>& among,
                 const crash_verdict& verdict) {
    return std::any_of(among.begin(), among.end(), [&](const auto& each) {
        return each.fingerprint == verdict.fingerprint;
    });
}

} // namespace

table_fingerprints fingerprints_of(const known_state& state) {
    return {fingerprint_of(state.members.digest()),
            fingerprint_of(state.beliefs.digest()),
            state.registry.fingerprint(), state.quarantine.digest()};
}

std::optional<records_request>
difference_request(const known_state& state, const table_fingerprints& theirs) {
    const auto mine = fingerprints_of(state);
    if (mine == theirs) {
        return std::nullopt;
    }
    records_request request;
    if (mine.members != theirs.members) {
        request.members = state.members.digest();
    }
    if (mine.beliefs != theirs.beliefs) {
        request.beliefs = state.beliefs.digest();
    }
    if (mine.registry != theirs.registry) {
        request.registry = state.registry.digest();
    }
    request.quarantine = mine.quarantine != theirs.quarantine;
    return request;
}

records_message answer_request(const known_state& state,
                               const records_request& request) {
    records_message answer;
    answer.answers_request = true;
    collect_differing(state.members, request.members, answer.member_buckets,
                      answer.members);
    collect_differing(state.beliefs, request.beliefs, answer.belief_buckets,
                      answer.beliefs);
    collect_differing(state.registry, request.registry, answer.registry_buckets,
                      answer.registry);
    answer.complete_quarantine = request.quarantine;
    if (request.quarantine) {
        answer.quarantine = state.quarantine.verdicts();
        answer.deaths = state.quarantine.deaths();
    }
    return answer;
}

records_message missing_from(const known_state& state,
                             const records_message& theirs) {
    records_message newer;
    newer.members = missing_or_different(state.members, theirs.member_buckets,
                                         theirs.members);
    newer.beliefs = missing_or_different(state.beliefs, theirs.belief_buckets,
                                         theirs.beliefs);
    newer.registry = missing_or_different(
        state.registry, theirs.registry_buckets, theirs.registry);
    if (theirs.complete_quarantine) {
        for (const auto& mine : state.quarantine.verdicts()) {
            if (!has_verdict(theirs.quarantine, mine)) {
                newer.quarantine.push_back(mine);
            }
        }
    }
    return newer;
}

bool is_empty(const records_message& message) {
    return count_of(message) == 0;
}

std::size_t count_of(const records_message& message) {
    return message.members.size() + message.beliefs.size() +
           message.registry.size() + message.quarantine.size() +
           message.deaths.size();
}

} // namespace waxwingvale::membership
