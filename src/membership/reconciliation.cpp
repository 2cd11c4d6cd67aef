#include "membership/reconciliation.hpp"

#include <algorithm>
#include <functional>

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

// The records of the table's buckets that differ from theirs, and which they
// are.
template <typename Table, typename Record>
void take_differing(const Table& table,
                    const std::optional<digest_buckets>& theirs,
                    std::vector<unsigned>& buckets,
                    std::vector<Record>& records) {
    if (!theirs) {
        return;
    }
    buckets = differing(table.digest(), *theirs);
    for (const auto bucket : buckets) {
        const auto in_bucket = table.in_bucket(bucket);
        records.insert(records.end(), in_bucket.begin(), in_bucket.end());
    }
}

template <typename Record, typename Same>
bool lacks(const std::vector<Record>& theirs, const Record& record, Same same) {
    return std::none_of(theirs.begin(), theirs.end(),
                        [&](const auto& each) { return same(each, record); });
}

// Of the table's records in those buckets the ones that are not among theirs.
template <typename Table, typename Record, typename Same>
void take_newer(const Table& table, const std::vector<unsigned>& buckets,
                const std::vector<Record>& theirs, Same same,
                std::vector<Record>& newer) {
    for (const auto bucket : buckets) {
        for (const auto& mine : table.in_bucket(bucket)) {
            if (lacks(theirs, mine, same)) {
                newer.push_back(mine);
            }
        }
    }
}

bool same_word(const belief_record& a, const belief_record& b) {
    return a.backend_server == b.backend_server &&
           a.incarnation == b.incarnation && a.version == b.version &&
           a.dead == b.dead && a.leaving == b.leaving;
}

bool same_revision(const registry_record& a, const registry_record& b) {
    return a.name == b.name && a.revision == b.revision;
}

} // namespace

table_fingerprints fingerprints_of(const known_state& state) {
    return {fingerprint_of(state.members.digest()),
            fingerprint_of(state.beliefs.digest()),
            state.registry.fingerprint(), state.quarantine.digest()};
}

std::optional<records_request> request_to(const known_state& state,
                                          const table_fingerprints& theirs) {
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

records_message answer_to(const known_state& state,
                          const records_request& request) {
    records_message answer;
    answer.answers_request = true;
    take_differing(state.members, request.members, answer.member_buckets,
                   answer.members);
    take_differing(state.beliefs, request.beliefs, answer.belief_buckets,
                   answer.beliefs);
    take_differing(state.registry, request.registry, answer.registry_buckets,
                   answer.registry);
    answer.whole_quarantine = request.quarantine;
    if (request.quarantine) {
        answer.quarantine = state.quarantine.verdicts();
        answer.deaths = state.quarantine.deaths();
    }
    return answer;
}

records_message newer_than(const known_state& state,
                           const records_message& theirs) {
    records_message newer;
    take_newer(state.members, theirs.member_buckets, theirs.members,
               std::equal_to<>(), newer.members);
    take_newer(state.beliefs, theirs.belief_buckets, theirs.beliefs, same_word,
               newer.beliefs);
    take_newer(state.registry, theirs.registry_buckets, theirs.registry,
               same_revision, newer.registry);
    if (theirs.whole_quarantine) {
        for (const auto& mine : state.quarantine.verdicts()) {
            const auto same = [](const auto& a, const auto& b) {
                return a.fingerprint == b.fingerprint;
            };
            if (lacks(theirs.quarantine, mine, same)) {
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
