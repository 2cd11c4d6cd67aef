#include <waxwingvale/membership/peer_exchange.hpp>

#include <algorithm>
#include <utility>

namespace waxwingvale::membership {

namespace {

bool is_empty(const records_message& message) {
    return message.members.empty() && message.beliefs.empty() &&
           message.registry.empty() && message.quarantine.empty() &&
           message.deaths.empty();
}

std::size_t count_of(const records_message& message) {
    return message.members.size() + message.beliefs.size() +
           message.registry.size() + message.quarantine.size() +
           message.deaths.size();
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

template <typename Record>
void append(std::vector<Record>& to, const std::vector<Record>& more) {
    to.insert(to.end(), more.begin(), more.end());
}

// Stands for the peer that told us when it tells everybody the same.
constexpr const char* everybody = "*";

// The peer that told us, or an empty name.
std::string origin_of(const std::map<std::string, std::string>& origins,
                      const std::string& name) {
    const auto found = origins.find(name);
    return found == origins.end() ? std::string() : found->second;
}

// Whether theirs lacks something of this record, going by what they sent.
template <typename Record, typename Same>
bool lacks(const std::vector<Record>& theirs, const Record& record, Same same) {
    return std::none_of(theirs.begin(), theirs.end(),
                        [&](const auto& each) { return same(each, record); });
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

peer_exchange::peer_exchange(known_state state, freshness& fresh,
                             exchange_timing timing, std::uint64_t seed,
                             time_point now)
    : state_(state),
      fresh_(fresh),
      timing_(timing),
      random_(seed),
      next_digest_(now),
      files_(state.configurations, timing.configuration_answer) {}

void peer_exchange::plan(const std::set<std::string>& peers, time_point now) {
    planned_ = peers;
    for (const auto& peer : peers) {
        if (linked_.count(peer) == 0) {
            awaited_.emplace(peer, now + timing_.connect_grace);
        }
    }
    for (auto at = awaited_.begin(); at != awaited_.end();) {
        at = peers.count(at->first) == 0 ? awaited_.erase(at) : std::next(at);
    }
}

void peer_exchange::link_up(const std::string& peer, time_point now) {
    linked_.insert(peer);
    awaited_.erase(peer);
    const bool knows_enough = introduced_ && fresh_.fresh();
    if (!is_member(peer) ||
        (!knows_enough && greetings_ < timing_.first_greetings)) {
        ++greetings_;
        send_digest(peer, fresh_.epoch(), 0);
    } else if (state_.members.self().id.name < peer) {
        std::uniform_int_distribution<duration::rep> wait(
            0, timing_.greeting_spread.count());
        greet_at_[peer] = now + duration(wait(random_));
    }
}

void peer_exchange::send_due_greetings(time_point now) {
    for (auto at = greet_at_.begin(); at != greet_at_.end();) {
        const bool due = now >= at->second;
        if (due) {
            send_digest(at->first, fresh_.fresh() ? 0 : fresh_.epoch(), 0);
        }
        at = due ? greet_at_.erase(at) : std::next(at);
    }
}

void peer_exchange::link_down(const std::string& peer, time_point now) {
    linked_.erase(peer);
    records_awaited_.erase(peer);
    word_of_peer_.erase(peer);
    greet_at_.erase(peer);
    files_.lost(peer, now);
    if (planned_.count(peer) > 0) {
        awaited_[peer] = now + timing_.reconnect_grace;
    }
}

// Two instances that dial each other have two links for a moment. What was said
// over the one that closes is lost, and nothing else would tell but the digest
// that chance sends at last, some seconds later.
void peer_exchange::link_replaced(const std::string& peer, time_point now) {
    if (linked_.count(peer) > 0) {
        greet_at_[peer] = now;
    }
}

void peer_exchange::receive(const std::string& peer,
                            const exchange_message& message, time_point now) {
    std::visit([&](const auto& typed) { take(peer, typed, now); }, message);
}

void peer_exchange::take(const std::string& peer, const digest_message& message,
                         time_point now) {
    if (message.answers != 0) {
        take_answer(peer, message);
    }
    if (message.asks != 0) {
        send_digest(peer, 0, message.asks);
    }
    want_configuration(peer, {message.revision, message.refused}, now);
    send_differing(peer, message);
}

// The answer to what was asked after a late wake-up. When the peer knows other
// things, its records follow: until they are here the view is still old, and
// work would go to a backend server that has left meanwhile.
void peer_exchange::take_answer(const std::string& peer,
                                const digest_message& answer) {
    const auto mine = own_digest();
    const bool same = differing(mine.members, answer.members).empty() &&
                      differing(mine.beliefs, answer.beliefs).empty() &&
                      differing(mine.registry, answer.registry).empty();
    if (same) {
        fresh_.hear(answer.answers);
    } else {
        records_awaited_[peer] = answer.answers;
    }
}

// What we have in the buckets that differ; the peer answers with what is
// newer there.
void peer_exchange::send_differing(const std::string& peer,
                                   const digest_message& theirs) {
    const auto mine = own_digest();
    records_message records;
    records.member_buckets = differing(mine.members, theirs.members);
    records.belief_buckets = differing(mine.beliefs, theirs.beliefs);
    records.registry_buckets = differing(mine.registry, theirs.registry);
    records.whole_quarantine = mine.quarantine != theirs.quarantine;
    const bool same =
        records.member_buckets.empty() && records.belief_buckets.empty() &&
        records.registry_buckets.empty() && !records.whole_quarantine;
    introduced_ = introduced_ || records.member_buckets.empty();
    if (same) {
        return;
    }
    ++counters_.digests_differed;
    for (const auto bucket : records.member_buckets) {
        append(records.members, state_.members.in_bucket(bucket));
    }
    for (const auto bucket : records.belief_buckets) {
        append(records.beliefs, state_.beliefs.in_bucket(bucket));
    }
    for (const auto bucket : records.registry_buckets) {
        append(records.registry, state_.registry.in_bucket(bucket));
    }
    if (records.whole_quarantine) {
        records.quarantine = state_.quarantine.verdicts();
        records.deaths = state_.quarantine.deaths();
    }
    send(peer, std::move(records));
}

void peer_exchange::take(const std::string& peer,
                         const records_message& message, time_point now) {
    counters_.records_received += count_of(message);
    introduced_ = introduced_ || !message.member_buckets.empty();
    merge_records(peer, message, now);
    const auto awaited = records_awaited_.find(peer);
    if (awaited != records_awaited_.end()) {
        fresh_.hear(awaited->second);
        records_awaited_.erase(awaited);
    }
    auto answer = newer_than(message);
    if (!is_empty(answer)) {
        send(peer, std::move(answer));
    }
}

void peer_exchange::merge_records(const std::string& peer,
                                  const records_message& message,
                                  time_point now) {
    const auto origin = tells_everybody(message.told) ? everybody : peer;
    for (const auto& record : message.members) {
        const bool changed = state_.members.merge(record, now);
        // Who told us needs no telling, unless we know better.
        if (changed && *state_.members.find(record.id.name) == record) {
            member_origin_[record.id.name] = peer;
        }
    }
    for (const auto& record : message.beliefs) {
        const bool changed = state_.beliefs.merge(record);
        if (changed && *state_.beliefs.find(record.backend_server) == record) {
            belief_origin_[record.backend_server] = origin;
        }
    }
    for (const auto& record : message.registry) {
        if (state_.registry.merge(record, now)) {
            registry_origin_[record.name] = origin;
        }
    }
    for (const auto& record : message.quarantine) {
        state_.quarantine.add_verdict(record);
    }
    for (const auto& record : message.deaths) {
        state_.quarantine.add_death(record);
    }
}

// Whoever has links with all others tells all that it learns to each of them.
// Passed on by everybody, a word would cost the square of their number. Who the
// others are is itself learned by word, which is passed on always.
bool peer_exchange::tells_everybody(std::size_t told) const {
    return told > 0 && told + 1 >= state_.members.present();
}

bool peer_exchange::is_member(const std::string& peer) const {
    const auto* known = state_.members.find(peer);
    return known != nullptr && known->life != liveness::gone;
}

// How many of these are members, and so count for others as told.
template <typename Names>
std::size_t peer_exchange::members_among(const Names& peers) const {
    const auto count =
        std::count_if(peers.begin(), peers.end(),
                      [&](const auto& peer) { return is_member(peer); });
    return static_cast<std::size_t>(count);
}

// What we hold, in the buckets they sent whole, that is not among theirs.
records_message peer_exchange::newer_than(const records_message& theirs) const {
    records_message newer;
    for (const auto bucket : theirs.member_buckets) {
        for (const auto& mine : state_.members.in_bucket(bucket)) {
            if (lacks(theirs.members, mine, std::equal_to<>())) {
                newer.members.push_back(mine);
            }
        }
    }
    for (const auto bucket : theirs.belief_buckets) {
        for (const auto& mine : state_.beliefs.in_bucket(bucket)) {
            if (lacks(theirs.beliefs, mine, same_word)) {
                newer.beliefs.push_back(mine);
            }
        }
    }
    for (const auto bucket : theirs.registry_buckets) {
        for (const auto& mine : state_.registry.in_bucket(bucket)) {
            if (lacks(theirs.registry, mine, same_revision)) {
                newer.registry.push_back(mine);
            }
        }
    }
    if (theirs.whole_quarantine) {
        for (const auto& mine : state_.quarantine.verdicts()) {
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

void peer_exchange::take(const std::string& peer,
                         const revision_message& message, time_point now) {
    if (tells_everybody(message.told)) {
        known_to_all_ = std::max(known_to_all_, message.revision);
    }
    want_configuration(peer, message, now);
}

void peer_exchange::want_configuration(const std::string& peer,
                                       const revision_message& theirs,
                                       time_point now) {
    // One that has just started may have read an old file; what peers have in
    // force counts before its first word to anybody.
    const bool platform_will_tell = platform_answers_ && settled_;
    const auto wait =
        platform_will_tell ? timing_.configuration_wait : duration::zero();
    files_.hear(peer, theirs, wait, now);
    ask_for_configuration(now);
}

void peer_exchange::take(const std::string& peer,
                         const configuration_request& message, time_point) {
    for (auto& file : files_.answer(message)) {
        ++counters_.configurations_sent;
        send(peer, std::move(file));
    }
}

void peer_exchange::take(const std::string& peer,
                         const configuration_message& message, time_point) {
    ++counters_.configurations_received;
    const auto taken = files_.take(message);
    if (!taken) {
        ++counters_.configurations_malformed;
        problem_ = taken.error();
        problem_->peer = peer;
    }
}

void peer_exchange::take(const std::string& peer, const platform_word& message,
                         time_point now) {
    state_.readers.hear(message.reader, message.age, now);
    note_word(peer, now - message.age, tells_everybody(message.told));
    want_configuration(peer, {message.revision, 0}, now);
    const bool differs = message.registry != state_.registry.fingerprint();
    if (differs && now - resynced_[peer] >= timing_.resync_wait) {
        // What a link swallowed as it broke would else be missed until the
        // next digest, and a backend server that left would get work.
        resynced_[peer] = now;
        send_digest(peer, 0, 0);
    }
}

// Whose word is as new as that moment: the peer's, or by now everybody's.
void peer_exchange::note_word(const std::string& peer, time_point read_at,
                              bool everybody_has_it) {
    word_of_peer_[peer] = std::max(word_of_peer_[peer], read_at);
    if (!everybody_has_it) {
        return;
    }
    for (const auto& other : linked_) {
        if (is_member(other)) {
            word_of_peer_[other] = std::max(word_of_peer_[other], read_at);
        }
    }
}

// Peers that have it as new themselves are not told.
void peer_exchange::pass_on_word(time_point now) {
    const auto age = state_.readers.age(now);
    const auto& reader = state_.readers.newest_reader();
    if (reader.empty()) {
        return;
    }
    std::vector<std::string> behind;
    for (const auto& peer : linked_) {
        auto& theirs = word_of_peer_[peer];
        if (now - age - theirs >= timing_.word_step) {
            theirs = now - age;
            behind.push_back(peer);
        }
    }
    for (const auto& peer : behind) {
        send(peer, platform_word{reader, age, state_.registry.fingerprint(),
                                 state_.configurations.revision(),
                                 members_among(behind)});
    }
}

void peer_exchange::tick(time_point now) {
    settled_ = settled_ || introduced();
    accuse_silent(now);
    state_.members.tick(now);
    state_.quarantine.expire(now);
    ask_for_configuration(now);
    send_due_greetings(now);
    send_due_digest(now);
}

// A member that others still reach refutes, and is not accused again for the
// same broken link until long after. It is accused again at last because its
// refutation may have been its last word, still on its way when it ended.
// Before its word has come there is nobody to accuse; the next tick looks
// again.
void peer_exchange::accuse_silent(time_point now) {
    for (auto& [peer, deadline] : awaited_) {
        if (now >= deadline && state_.members.accuse(peer, now)) {
            deadline = now + timing_.accuse_again;
            ++counters_.accusations;
        }
    }
}

void peer_exchange::ask_for_configuration(time_point now) {
    if (auto request = files_.due_request(now)) {
        outgoing_.push_back(std::move(*request));
    }
}

void peer_exchange::send_due_digest(time_point now) {
    if (now < next_digest_ || linked_.empty()) {
        return;
    }
    const auto period = timing_.digest_period.count();
    std::uniform_int_distribution<duration::rep> jitter(period / 2,
                                                        period * 3 / 2);
    next_digest_ = now + duration(jitter(random_));
    std::uniform_int_distribution<std::size_t> pick(0, linked_.size() - 1);
    const auto peer =
        std::next(linked_.begin(), static_cast<std::ptrdiff_t>(pick(random_)));
    send_digest(*peer, fresh_.fresh() ? 0 : fresh_.epoch(), 0);
}

void peer_exchange::woke_late(time_point now) {
    state_.members.restart_suspicions(now);
    for (auto& [peer, deadline] : awaited_) {
        deadline = now + timing_.connect_grace;
    }
    for (const auto& peer : linked_) {
        send_digest(peer, fresh_.epoch(), 0);
    }
}

digest_message peer_exchange::own_digest() const {
    digest_message digest;
    digest.revision = state_.configurations.revision();
    digest.refused = state_.configurations.refused_revision();
    digest.members = state_.members.digest();
    digest.beliefs = state_.beliefs.digest();
    digest.registry = state_.registry.digest();
    digest.quarantine = state_.quarantine.digest();
    return digest;
}

void peer_exchange::send_digest(const std::string& peer, std::uint64_t asks,
                                std::uint64_t answers) {
    auto digest = own_digest();
    digest.asks = asks;
    digest.answers = answers;
    ++counters_.digests_sent;
    send(peer, digest);
}

void peer_exchange::send(const std::string& peer, exchange_message message) {
    if (const auto* records = std::get_if<records_message>(&message)) {
        counters_.records_sent += count_of(*records);
    }
    outgoing_.push_back({peer, std::move(message)});
}

std::vector<addressed_message> peer_exchange::take_messages(time_point now) {
    pass_on_revision();
    pass_on_changes(now);
    pass_on_word(now);
    return std::exchange(outgoing_, {});
}

void peer_exchange::pass_on_revision() {
    const auto mine = files_.own_revision();
    if (mine.revision == announced_.revision &&
        mine.refused == announced_.refused) {
        return;
    }
    const bool news =
        mine.refused != announced_.refused || mine.revision > known_to_all_;
    announced_ = mine;
    const auto told = members_among(linked_);
    for (const auto& peer : linked_) {
        if (news || !is_member(peer)) {
            send(peer, revision_message{mine.revision, mine.refused, told});
        }
    }
}

void peer_exchange::pass_on_changes(time_point now) {
    if (now < next_relay_) {
        return;
    }
    const auto members = state_.members.take_changes();
    const auto beliefs = state_.beliefs.take_changes();
    const auto registry = state_.registry.take_changes();
    const auto verdicts = state_.quarantine.take_new_verdicts();
    const auto deaths = state_.quarantine.take_new_deaths();
    const auto unknown_to = [this](const std::string& origin,
                                   const std::string& peer) {
        return origin != peer && (origin != everybody || !is_member(peer));
    };
    const auto told = members_among(linked_);
    for (const auto& peer : linked_) {
        records_message records;
        records.told = told;
        for (const auto& each : members) {
            if (unknown_to(origin_of(member_origin_, each.id.name), peer)) {
                records.members.push_back(each);
            }
        }
        for (const auto& each : beliefs) {
            if (unknown_to(origin_of(belief_origin_, each.backend_server),
                           peer)) {
                records.beliefs.push_back(each);
            }
        }
        for (const auto& each : registry) {
            if (unknown_to(origin_of(registry_origin_, each.name), peer)) {
                records.registry.push_back(each);
            }
        }
        records.quarantine = verdicts;
        records.deaths = deaths;
        if (!is_empty(records)) {
            send(peer, std::move(records));
        }
    }
    const bool passed_on = !members.empty() || !beliefs.empty() ||
                           !registry.empty() || !verdicts.empty() ||
                           !deaths.empty();
    if (passed_on) {
        next_relay_ = now + timing_.relay_wait;
    }
    member_origin_.clear();
    belief_origin_.clear();
    registry_origin_.clear();
}

} // namespace waxwingvale::membership
