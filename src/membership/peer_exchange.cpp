#include <waxwingvale/membership/peer_exchange.hpp>

#include <algorithm>
#include <utility>

#include "membership/reconciliation.hpp"

namespace waxwingvale::membership {

namespace {

std::size_t max_subscribers(const member_record& self,
                            const exchange_timing& timing) {
    const auto by_cores =
        timing.listeners_per_core * self.capacity.cpu_permille / 1000;
    return std::max(by_cores, timing.fewest_listeners);
}

} // namespace

peer_exchange::peer_exchange(known_state state, freshness& fresh,
                             exchange_timing timing, std::uint64_t seed,
                             time_point now)
    : state_(state),
      fresh_(fresh),
      timing_(timing),
      random_(seed),
      routes_(state.members.self().id.name,
              max_subscribers(state.members.self(), timing), timing.news, now),
      next_digest_(now),
      files_(state.configurations, timing.configuration_answer) {}

void peer_exchange::plan(const std::set<std::string>& peers,
                         std::set<std::string> central, time_point now) {
    planned_ = peers;
    routes_.set_central(std::move(central));
    for (const auto& peer : peers) {
        if (linked().count(peer) == 0) {
            awaited_.emplace(peer, now + timing_.connect_grace);
        }
    }
    for (auto at = awaited_.begin(); at != awaited_.end();) {
        at = peers.count(at->first) == 0 ? awaited_.erase(at) : std::next(at);
    }
}

void peer_exchange::link_up(const std::string& peer, time_point now) {
    routes_.link_up(peer);
    awaited_.erase(peer);
    choose_feed(now);
    introduce_to(peer, now);
    if (routes_.feed() == peer) {
        return; // the digest that subscribes also compares tables
    }
    const auto& self = state_.members.self().id.name;
    if (is_member(peer) && routes_.is_central(self) &&
        routes_.is_central(peer) && self < peer) {
        std::uniform_int_distribution<duration::rep> wait(
            0, timing_.greeting_spread.count());
        greet_at_[peer] = now + duration(wait(random_));
    }
}

// Sends our own member record to a linked peer that is no known member. Two
// instances that do not know each other may belong to parts of a fleet that do
// not either, as when a whole fleet starts and each data centre has found only
// its own seed. Without an introduction, each part would have its own owners
// for the same slots.
void peer_exchange::introduce_to(const std::string& peer, time_point now) {
    const auto& self = state_.members.self();
    if (is_member(peer) || self.id.incarnation == 0) {
        return;
    }
    records_message introduction;
    introduction.members.push_back(self);
    send(peer, std::move(introduction));
    strangers_[peer] = now + timing_.stranger_wait;
}

void peer_exchange::send_due_greetings(time_point now) {
    for (auto at = greet_at_.begin(); at != greet_at_.end();) {
        const bool due = now >= at->second;
        if (due) {
            send_digest(at->first, epoch_for(at->first), 0);
        }
        at = due ? greet_at_.erase(at) : std::next(at);
    }
    for (auto at = strangers_.begin(); at != strangers_.end();) {
        const bool due = now >= at->second;
        if (due && !is_member(at->first)) {
            send_digest(at->first, epoch_for(at->first), 0);
        }
        at = due ? strangers_.erase(at) : std::next(at);
    }
}

void peer_exchange::link_down(const std::string& peer, time_point now) {
    routes_.link_down(peer);
    records_awaited_.erase(peer);
    word_of_peer_.erase(peer);
    greet_at_.erase(peer);
    strangers_.erase(peer);
    not_heard_since_wake_.erase(peer);
    files_.lost(peer);
    if (asked_ && asked_->peer == peer) {
        asked_.reset();
    }
    if (differing_ && differing_->peer == peer) {
        differing_.reset();
    }
    if (planned_.count(peer) > 0) {
        awaited_[peer] = now + timing_.reconnect_grace;
    }
    choose_feed(now);
}

// Two instances that dial each other briefly have two links. Messages on the
// link that closes are lost. Without a comparison now, only a periodic digest
// that happens to go to this peer would recover them, some seconds later.
void peer_exchange::link_replaced(const std::string& peer, time_point now) {
    if (linked().count(peer) == 0) {
        return;
    }
    if (routes_.feed() == peer) {
        send_digest(peer, epoch_for(peer), 0, listening::starts);
    } else {
        greet_at_[peer] = now;
    }
}

void peer_exchange::choose_feed(time_point now) {
    for (const auto& change : routes_.choose_feed(state_.members, now)) {
        ++counters_.feeds_changed;
        send_digest(change.peer, change.start ? epoch_for(change.peer) : 0, 0,
                    change.start ? listening::starts : listening::ends);
    }
}

void peer_exchange::receive(const std::string& peer,
                            const exchange_message& message, time_point now) {
    std::visit([&](const auto& typed) { take(peer, typed, now); }, message);
}

void peer_exchange::take(const std::string& peer, const digest_message& message,
                         time_point now) {
    if (!take_listening(peer, message.listens, now)) {
        return;
    }
    const bool starts = message.listens == listening::starts;
    const bool same = message.tables == fingerprints_of(state_);
    counters_.digests_differed += same ? 0 : 1;
    introduced_ = introduced_ || same;
    if (message.answers == fresh_.epoch()) {
        not_heard_since_wake_.erase(peer);
    }
    if (message.answers != 0) {
        take_answer(peer, message.answers, same);
    }
    if (message.asks != 0 || (starts && !same)) {
        send_digest(peer, 0, message.asks);
    }
    want_configuration(peer, {message.revision, message.refused}, now);
    // A new subscriber requests what it lacks and sends what it has newer.
    if (!same && !starts) {
        want_records(peer, message.tables, now);
    }
}

// Returns false if this instance declines the peer as a subscriber, or the peer
// declines us; the tables are then not compared with this peer.
bool peer_exchange::take_listening(const std::string& peer, listening change,
                                   time_point now) {
    switch (change) {
    case listening::as_before:
        return true;
    case listening::starts:
        word_of_peer_.erase(peer);
        if (!routes_.add_listener(peer)) {
            decline(peer);
            return false;
        }
        return true;
    case listening::ends:
        routes_.remove_listener(peer);
        return true;
    case listening::declined:
        routes_.declined(peer, now);
        choose_feed(now);
        return false;
    }
    return true;
}

// Declines a peer as a subscriber. A peer that is no member yet also receives
// the records of other members, which may accept it.
void peer_exchange::decline(const std::string& peer) {
    if (!is_member(peer)) {
        refer(peer);
    }
    send_digest(peer, 0, 0, listening::declined);
}

// Central instances come first, since they can serve the most subscribers.
void peer_exchange::refer(const std::string& peer) {
    const auto shuffled = [this](const std::set<std::string>& names) {
        std::vector<std::string> order(names.begin(), names.end());
        std::shuffle(order.begin(), order.end(), random_);
        return order;
    };
    auto names = shuffled(routes_.central());
    const auto listeners = shuffled(routes_.listeners());
    names.insert(names.end(), listeners.begin(), listeners.end());
    records_message others;
    others.members.push_back(state_.members.self());
    for (const auto& name : names) {
        const auto* known = state_.members.find(name);
        const bool complete = others.members.size() >= timing_.referrals;
        if (known != nullptr && name != peer && !complete) {
            others.members.push_back(*known);
        }
    }
    send(peer, std::move(others));
}

// Handles the answer to a query of `epoch`, such as the one sent after a late
// wake-up. If the peer's tables differ, its records follow. The view stays
// stale until they have arrived; otherwise work would be sent to a backend
// server that has left meanwhile.
void peer_exchange::take_answer(const std::string& peer, std::uint64_t epoch,
                                bool same) {
    if (same) {
        fresh_.hear(epoch);
    } else {
        records_awaited_[peer] = epoch;
    }
}

// Records are requested from one peer at a time. While a fleet starts, all
// tables differ all the time, and every instance would otherwise send its whole
// tables to all its linked peers repeatedly, until links and processors do
// nothing else.
void peer_exchange::want_records(const std::string& peer,
                                 const table_fingerprints& theirs,
                                 time_point now) {
    if (!differing_ || peer == differing_->peer || peer == routes_.feed()) {
        differing_ = differing_peer{peer, theirs};
    }
    ask_for_records(now);
}

void peer_exchange::ask_for_records(time_point now) {
    if (asked_ && now >= asked_->until) {
        asked_.reset();
    }
    const bool pausing = now < next_request_ && fresh_.fresh();
    if (!differing_ || asked_ || pausing) {
        return;
    }
    const auto target = std::move(*differing_);
    differing_.reset();
    const auto request = request_to(state_, target.tables);
    if (!request) {
        hear_whole(target.peer); // the differing records have arrived meanwhile
        return;
    }
    ++counters_.records_requested;
    asked_ = asked_records{target.peer, now + timing_.records_wait};
    send(target.peer, *request);
}

// Called when all records that the peer had when it answered are present here.
void peer_exchange::hear_whole(const std::string& peer) {
    introduced_ = true;
    const auto awaited = records_awaited_.find(peer);
    if (awaited != records_awaited_.end()) {
        fresh_.hear(awaited->second);
        records_awaited_.erase(awaited);
    }
}

void peer_exchange::take(const std::string& peer,
                         const records_request& message, time_point) {
    send(peer, answer_to(state_, message));
}

void peer_exchange::take(const std::string& peer,
                         const records_message& message, time_point now) {
    counters_.records_received += count_of(message);
    merge_records(peer, message, now);
    if (message.answers_request) {
        hear_whole(peer);
        if (asked_ && asked_->peer == peer) {
            asked_.reset();
            next_request_ = now + timing_.request_pause;
        }
    }
    auto newer = newer_than(state_, message);
    if (!is_empty(newer)) {
        send(peer, std::move(newer));
    }
}

void peer_exchange::merge_records(const std::string& peer,
                                  const records_message& message,
                                  time_point now) {
    for (const auto& record : message.members) {
        const bool changed = state_.members.merge(record, now);
        // The sender need not be sent its own record back, unless the merged
        // record differs from it.
        if (changed && *state_.members.find(record.id.name) == record) {
            member_origin_[record.id.name] = peer;
        }
    }
    for (const auto& record : message.beliefs) {
        const bool changed = state_.beliefs.merge(record);
        if (changed && *state_.beliefs.find(record.backend_server) == record) {
            belief_origin_[record.backend_server] = peer;
        }
    }
    for (const auto& record : message.registry) {
        if (state_.registry.merge(record, now)) {
            registry_origin_[record.name] = peer;
        }
    }
    for (const auto& record : message.quarantine) {
        state_.quarantine.add_verdict(record);
    }
    for (const auto& record : message.deaths) {
        state_.quarantine.add_death(record);
    }
}

bool peer_exchange::is_member(const std::string& peer) const {
    const auto* known = state_.members.find(peer);
    return known != nullptr && known->life != liveness::gone;
}

void peer_exchange::take(const std::string& peer,
                         const revision_message& message, time_point now) {
    want_configuration(peer, message, now);
}

void peer_exchange::want_configuration(const std::string& peer,
                                       const revision_message& theirs,
                                       time_point now) {
    if (theirs.revision > newest_named_) {
        newest_named_ = theirs.revision;
        newest_named_by_ = peer;
    }
    // An instance that has just started may have read an old file from the
    // platform, so it requests the peers' file without delay until it has been
    // introduced. An instance that does not read the platform itself learns of
    // files only from peers.
    const bool expect_from_platform =
        platform_answers_ && state_.readers.reads() && settled_;
    const auto wait =
        expect_from_platform ? timing_.configuration_wait : duration::zero();
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
                         const configuration_message& message, time_point now) {
    ++counters_.configurations_received;
    const auto taken = files_.take(peer, message);
    if (!taken) {
        ++counters_.configurations_malformed;
        problem_ = taken.error();
        problem_->peer = peer;
    }
    ask_for_configuration(now);
}

void peer_exchange::take(const std::string& peer, const platform_word& message,
                         time_point now) {
    if (not_heard_since_wake_.count(peer) == 0) {
        take_age(peer, message, now);
    }
    want_configuration(peer, {message.revision, 0}, now);
    if (message.registry != state_.registry.fingerprint()) {
        // A message was lost, for example with a broken link. Without a request
        // now the difference would last until the next digest, and work would
        // be sent to a backend server that has left.
        auto tables = fingerprints_of(state_);
        tables.registry = message.registry;
        want_records(peer, tables, now);
    }
}

void peer_exchange::take_age(const std::string& peer,
                             const platform_word& message, time_point now) {
    if (state_.readers.hear(message.reader, message.age, now)) {
        state_.registry.platform_answered_other(now - message.age);
        routes_.hear_newer(peer, now);
        word_origin_ = peer;
    }
    auto& theirs = word_of_peer_[peer];
    theirs = std::max(theirs, now - message.age);
}

void peer_exchange::tick(time_point now) {
    settled_ = settled_ || introduced();
    accuse_silent(now);
    state_.members.tick(now);
    state_.quarantine.expire(now);
    choose_feed(now);
    ask_for_records(now);
    ask_for_configuration(now);
    send_due_greetings(now);
    send_due_digest(now);
}

// A member that others still reach refutes the accusation, and is not accused
// again for the same broken link until the accusation interval has passed. It
// is then accused again because its refutation may have been sent just before
// it ended. A peer whose member record has not arrived yet cannot be accused;
// the next tick tries again.
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
        ++counters_.configurations_requested;
        outgoing_.push_back(std::move(*request));
    }
}

void peer_exchange::send_due_digest(time_point now) {
    if (now < next_digest_ || linked().empty()) {
        return;
    }
    const auto period = timing_.digest_period.count();
    std::uniform_int_distribution<duration::rep> jitter(period / 2,
                                                        period * 3 / 2);
    next_digest_ = now + duration(jitter(random_));
    std::uniform_int_distribution<std::size_t> pick(0, linked().size() - 1);
    const auto peer =
        std::next(linked().begin(), static_cast<std::ptrdiff_t>(pick(random_)));
    send_digest(*peer, epoch_for(*peer), 0);
}

void peer_exchange::woke_late(time_point now) {
    state_.members.restart_suspicions(now);
    for (auto& [peer, deadline] : awaited_) {
        deadline = now + timing_.connect_grace;
    }
    not_heard_since_wake_ = linked();
    for (const auto& peer : linked()) {
        send_digest(peer, fresh_.epoch(), 0);
    }
}

// The epoch for a digest to a peer: the current epoch if the view is not fresh
// or the peer has not answered since a late wake-up, else 0 for no query.
std::uint64_t peer_exchange::epoch_for(const std::string& peer) const {
    const bool asks = !fresh_.fresh() || not_heard_since_wake_.count(peer) > 0;
    return asks ? fresh_.epoch() : 0;
}

} // namespace waxwingvale::membership
