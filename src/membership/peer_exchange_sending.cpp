#include <waxwingvale/membership/peer_exchange.hpp>

#include <algorithm>
#include <utility>

#include "membership/reconciliation.hpp"

// The sending side of peer_exchange: changes, revisions and platform status.
namespace waxwingvale::membership {

namespace {

// The peer from which the record came, or an empty name.
std::string origin_of(const std::map<std::string, std::string>& origins,
                      const std::string& name) {
    const auto found = origins.find(name);
    return found == origins.end() ? std::string() : found->second;
}

// Records by the peer from which they came; an empty name stands for records
// learned here.
using records_by_origin = std::map<std::string, records_message>;

template <typename Record, typename Name>
void group_by_origin(const std::vector<Record>& changes,
                     const std::map<std::string, std::string>& origins,
                     Name name_of, std::vector<Record> records_message::*list,
                     records_by_origin& to) {
    for (const auto& each : changes) {
        (to[origin_of(origins, name_of(each))].*list).push_back(each);
    }
}

template <typename Record>
void append(std::vector<Record>& to, const std::vector<Record>& more) {
    to.insert(to.end(), more.begin(), more.end());
}

void append(records_message& to, const records_message& more) {
    append(to.members, more.members);
    append(to.beliefs, more.beliefs);
    append(to.registry, more.registry);
    append(to.quarantine, more.quarantine);
    append(to.deaths, more.deaths);
}

} // namespace

// Sends the platform status to the recipients of updates, except those that
// know an equally recent answer of the platform.
void peer_exchange::relay_platform_status(time_point now) {
    const auto age = state_.readers.age(now);
    const auto& reader = state_.readers.newest_reader();
    if (reader.empty()) {
        return;
    }
    if (reader == state_.members.self().id.name &&
        !platform_status_origin_.empty()) {
        platform_status_origin_.clear();
    }
    std::set<std::string> outdated_peers;
    for (const auto& peer : tree_.recipients(platform_status_origin_)) {
        auto& theirs = platform_time_of_peer_[peer];
        if (now - age - theirs >= timing_.min_platform_status_step) {
            theirs = now - age;
            outdated_peers.insert(peer);
        }
    }
    const auto mine = state_.configurations.revision();
    send_to_all(outdated_peers,
                platform_status{reader, age, state_.registry.fingerprint(),
                                mine, std::max(mine, configurations_.named())});
}

digest_message peer_exchange::own_digest() const {
    digest_message digest;
    digest.revision = state_.configurations.revision();
    digest.refused = state_.configurations.refused_revision();
    digest.tables = fingerprints_of(state_);
    return digest;
}

void peer_exchange::send_digest(const std::string& peer, std::uint64_t asks,
                                std::uint64_t answers,
                                subscription_change listens) {
    auto digest = own_digest();
    digest.query_epoch = asks;
    digest.answered_epoch = answers;
    digest.subscription = listens;
    ++counters_.digests_sent;
    send(peer, digest);
}

void peer_exchange::send(const std::string& peer, exchange_message message) {
    send_to_all({peer}, std::move(message));
}

void peer_exchange::send_to_all(const std::set<std::string>& peers,
                                exchange_message message) {
    const auto shared =
        std::make_shared<const exchange_message>(std::move(message));
    for (const auto& peer : peers) {
        if (const auto* records = std::get_if<records_message>(&*shared)) {
            counters_.records_sent += count_of(*records);
        }
        outgoing_.push_back({peer, shared});
    }
}

// The platform status contains a fingerprint of the sender's registry table, so
// it is sent after the changes that the fingerprint includes.
std::vector<addressed_message> peer_exchange::take_messages(time_point now) {
    announce_revision();
    if (now >= next_relay_at_) {
        relay_changes(now);
        relay_platform_status(now);
    }
    return std::exchange(outgoing_, {});
}

void peer_exchange::announce_revision() {
    const auto mine = configurations_.own_revision();
    if (mine.revision == announced_revision_.revision &&
        mine.refused == announced_revision_.refused) {
        return;
    }
    announced_revision_ = mine;
    const bool from_peer = mine.revision <= newest_announced_;
    send_to_all(tree_.recipients(from_peer ? newest_announced_by_ : ""), mine);
}

void peer_exchange::relay_changes(time_point now) {
    records_by_origin changes;
    const auto name_of_member = [](const auto& each) { return each.id.name; };
    const auto name_of_server = [](const auto& each) {
        return each.backend_server;
    };
    const auto name_of_entry = [](const auto& each) { return each.name; };
    group_by_origin(state_.members.take_changes(), member_origin_,
                    name_of_member, &records_message::members, changes);
    group_by_origin(state_.beliefs.take_changes(), belief_origin_,
                    name_of_server, &records_message::beliefs, changes);
    group_by_origin(state_.registry.take_changes(), registry_origin_,
                    name_of_entry, &records_message::registry, changes);
    member_origin_.clear();
    belief_origin_.clear();
    registry_origin_.clear();
    // Verdicts and deaths are few and rare, so their origin is not tracked and
    // the peer that sent them receives them again.
    const auto verdicts = state_.quarantine.take_new_verdicts();
    const auto deaths = state_.quarantine.take_new_deaths();
    if (!verdicts.empty() || !deaths.empty()) {
        append(changes[""].quarantine, verdicts);
        append(changes[""].deaths, deaths);
    }
    if (changes.empty()) {
        return;
    }
    next_relay_at_ = now + relay_delay();
    send_by_recipients(changes);
}

// Peers that receive the same records share one message, which is encoded once.
void peer_exchange::send_by_recipients(
    const std::map<std::string, records_message>& changes) {
    std::map<std::string, std::set<std::string>> origins_for;
    for (const auto& each : changes) {
        for (const auto& peer : tree_.recipients(each.first)) {
            origins_for[peer].insert(each.first);
        }
    }
    std::map<std::set<std::string>, std::set<std::string>> peers_by_origins;
    for (const auto& each : origins_for) {
        peers_by_origins[each.second].insert(each.first);
    }
    for (const auto& [origins, peers] : peers_by_origins) {
        records_message records;
        for (const auto& origin : origins) {
            append(records, changes.at(origin));
        }
        send_records(peers, std::move(records));
    }
}

duration peer_exchange::relay_delay() const {
    const auto members = static_cast<duration::rep>(state_.members.present());
    return std::min(members * timing_.relay_delay_per_member,
                    timing_.max_relay_delay);
}

// When many registry records changed, as when the whole list was read from the
// platform, a digest is sent instead of the records: most peers already have
// them from another instance, and several thousand records for each peer would
// fill a small machine's link.
void peer_exchange::send_records(const std::set<std::string>& peers,
                                 records_message records) {
    if (records.registry.size() <= timing_.max_sent_registry_records) {
        send_to_all(peers, std::move(records));
        return;
    }
    records.registry.clear();
    if (!is_empty(records)) {
        send_to_all(peers, std::move(records));
    }
    send_to_all(peers, own_digest());
}

} // namespace waxwingvale::membership
