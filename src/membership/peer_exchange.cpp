#include <waxwingvale/membership/peer_exchange.hpp>

#include <algorithm>
#include <utility>

#include "membership/reconciliation.hpp"

namespace waxwingvale::membership {

namespace {

std::size_t max_subscribers(const member_record& self,
                            const exchange_timing& timing) {
    const auto by_cores =
        timing.subscribers_per_core * self.capacity.cpu_permille / 1000;
    return std::max(by_cores, timing.min_subscribers);
}

} // namespace

peer_exchange::peer_exchange(known_state state, freshness& fresh,
                             exchange_timing timing, std::uint64_t seed,
                             time_point now)
    : state_(state),
      fresh_(fresh),
      timing_(timing),
      random_(seed),
      tree_(state.members.self().id.name,
            max_subscribers(state.members.self(), timing), timing.tree, now),
      next_digest_at_(now),
      configurations_(state.configurations,
                      timing.configuration_answer_timeout) {}

void peer_exchange::plan(const std::set<std::string>& peers,
                         std::set<std::string> central, time_point now) {
    planned_peers_ = peers;
    tree_.set_central(std::move(central));
    for (const auto& peer : peers) {
        if (linked().count(peer) == 0) {
            accuse_at_.emplace(peer, now + timing_.connect_grace);
        }
    }
    for (auto at = accuse_at_.begin(); at != accuse_at_.end();) {
        at = peers.count(at->first) == 0 ? accuse_at_.erase(at) : std::next(at);
    }
}

void peer_exchange::link_up(const std::string& peer, time_point now) {
    tree_.link_up(peer);
    accuse_at_.erase(peer);
    choose_upstream(now);
    introduce_self(peer, now);
    if (tree_.upstream() == peer) {
        return; // the digest that subscribes also compares tables
    }
    const auto& self = state_.members.self().id.name;
    if (is_member(peer) && tree_.is_central(self) && tree_.is_central(peer) &&
        self < peer) {
        std::uniform_int_distribution<duration::rep> wait(
            0, timing_.initial_digest_jitter.count());
        initial_digest_at_[peer] = now + duration(wait(random_));
    }
}

// Sends our own member record to a linked peer that is no known member. Two
// instances that do not know each other may belong to parts of a fleet that do
// not either, as when a whole fleet starts and each data centre has found only
// its own seed. Without an introduction, each part would have its own owners
// for the same slots.
void peer_exchange::introduce_self(const std::string& peer, time_point now) {
    const auto& self = state_.members.self();
    if (is_member(peer) || self.id.incarnation == 0) {
        return;
    }
    records_message introduction;
    introduction.members.push_back(self);
    send(peer, std::move(introduction));
    unknown_peers_[peer] = now + timing_.unknown_peer_delay;
}

void peer_exchange::send_due_initial_digests(time_point now) {
    for (auto at = initial_digest_at_.begin();
         at != initial_digest_at_.end();) {
        const bool due = now >= at->second;
        if (due) {
            send_digest(at->first, query_epoch_for(at->first), 0);
        }
        at = due ? initial_digest_at_.erase(at) : std::next(at);
    }
    for (auto at = unknown_peers_.begin(); at != unknown_peers_.end();) {
        const bool due = now >= at->second;
        if (due && !is_member(at->first)) {
            send_digest(at->first, query_epoch_for(at->first), 0);
        }
        at = due ? unknown_peers_.erase(at) : std::next(at);
    }
}

void peer_exchange::link_down(const std::string& peer, time_point now) {
    tree_.link_down(peer);
    epochs_awaiting_records_.erase(peer);
    platform_time_of_peer_.erase(peer);
    initial_digest_at_.erase(peer);
    unknown_peers_.erase(peer);
    unheard_since_wakeup_.erase(peer);
    queried_since_wakeup_.erase(peer);
    configurations_.handle_link_down(peer);
    if (open_records_request_ && open_records_request_->peer == peer) {
        open_records_request_.reset();
    }
    if (next_differing_peer_ && next_differing_peer_->peer == peer) {
        next_differing_peer_.reset();
    }
    if (planned_peers_.count(peer) > 0) {
        accuse_at_[peer] = now + timing_.reconnect_grace;
    }
    choose_upstream(now);
}

// Two instances that dial each other briefly have two links. Messages on the
// link that closes are lost. Without a comparison now, only a periodic digest
// that happens to go to this peer would recover them, some seconds later.
void peer_exchange::link_replaced(const std::string& peer, time_point now) {
    if (linked().count(peer) == 0) {
        return;
    }
    if (tree_.upstream() == peer) {
        send_digest(peer, query_epoch_for(peer), 0,
                    subscription_change::subscribe);
    } else {
        initial_digest_at_[peer] = now;
    }
}

void peer_exchange::choose_upstream(time_point now) {
    for (const auto& change : tree_.choose_upstream(state_.members, now)) {
        ++counters_.upstream_changes;
        send_digest(change.peer,
                    change.subscribe ? query_epoch_for(change.peer) : 0, 0,
                    change.subscribe ? subscription_change::subscribe
                                     : subscription_change::unsubscribe);
    }
}

void peer_exchange::receive(const std::string& peer,
                            const exchange_message& message, time_point now) {
    std::visit([&](const auto& typed) { take(peer, typed, now); }, message);
}

void peer_exchange::take(const std::string& peer, const digest_message& message,
                         time_point now) {
    if (!handle_subscription(peer, message.subscription, now)) {
        return;
    }
    const bool starts = message.subscription == subscription_change::subscribe;
    const bool same = message.tables == fingerprints_of(state_);
    counters_.digests_differed += same ? 0 : 1;
    introduced_ = introduced_ || same;
    if (message.answered_epoch == fresh_.epoch()) {
        unheard_since_wakeup_.erase(peer);
    }
    if (message.answered_epoch != 0) {
        handle_query_answer(peer, message.answered_epoch, same);
    }
    if (message.query_epoch != 0 || (starts && !same)) {
        send_digest(peer, 0, message.query_epoch);
    }
    handle_announced_revision(peer, {message.revision, message.refused}, now);
    // A new subscriber requests what it lacks and sends what it has newer.
    if (!same && !starts) {
        queue_records_request(peer, message.tables, now);
    }
}

// Returns false if this instance declines the peer as a subscriber, or the peer
// declines us; the tables are then not compared with this peer.
bool peer_exchange::handle_subscription(const std::string& peer,
                                        subscription_change change,
                                        time_point now) {
    switch (change) {
    case subscription_change::none:
        return true;
    case subscription_change::subscribe:
        platform_time_of_peer_.erase(peer);
        if (!tree_.add_subscriber(peer)) {
            decline(peer);
            return false;
        }
        return true;
    case subscription_change::unsubscribe:
        tree_.remove_subscriber(peer);
        return true;
    case subscription_change::declined:
        tree_.handle_declined(peer, now);
        choose_upstream(now);
        return false;
    }
    return true;
}

// Declines a peer as a subscriber. A peer that is no member yet also receives
// the records of other members, which may accept it.
void peer_exchange::decline(const std::string& peer) {
    if (!is_member(peer)) {
        send_referrals(peer);
    }
    send_digest(peer, 0, 0, subscription_change::declined);
}

// Central instances come first, since they can serve the most subscribers.
void peer_exchange::send_referrals(const std::string& peer) {
    const auto shuffled = [this](const std::set<std::string>& names) {
        std::vector<std::string> order(names.begin(), names.end());
        std::shuffle(order.begin(), order.end(), random_);
        return order;
    };
    auto names = shuffled(tree_.central());
    const auto listeners = shuffled(tree_.subscribers());
    names.insert(names.end(), listeners.begin(), listeners.end());
    records_message others;
    others.members.push_back(state_.members.self());
    for (const auto& name : names) {
        const auto* known = state_.members.find(name);
        const bool complete = others.members.size() >= timing_.max_referrals;
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
void peer_exchange::handle_query_answer(const std::string& peer,
                                        std::uint64_t epoch, bool same) {
    if (same) {
        fresh_.record_peer_answer(epoch);
    } else {
        epochs_awaiting_records_[peer] = epoch;
    }
}

bool peer_exchange::is_member(const std::string& peer) const {
    const auto* known = state_.members.find(peer);
    return known != nullptr && known->life != liveness::gone;
}

void peer_exchange::take(const std::string& peer,
                         const revision_message& message, time_point now) {
    handle_announced_revision(peer, message, now);
}

void peer_exchange::handle_announced_revision(const std::string& peer,
                                              const revision_message& theirs,
                                              time_point now) {
    if (theirs.revision > newest_announced_) {
        newest_announced_ = theirs.revision;
        newest_announced_by_ = peer;
    }
    // An instance that has just started may have read an old file from the
    // platform, so it requests the peers' file without delay until it has been
    // introduced. An instance that does not read the platform itself learns of
    // files only from peers.
    const bool expect_from_platform =
        platform_answers_ && state_.readers.reads() && was_introduced_;
    const auto wait = expect_from_platform ? timing_.configuration_request_delay
                                           : duration::zero();
    configurations_.handle_announcement(peer, theirs, wait, now);
    send_due_configuration_request(now);
}

void peer_exchange::take(const std::string& peer,
                         const configuration_request& message, time_point) {
    for (auto& file : configurations_.answer(message)) {
        ++counters_.configurations_sent;
        send(peer, std::move(file));
    }
}

void peer_exchange::take(const std::string& peer,
                         const configuration_message& message, time_point now) {
    ++counters_.configurations_received;
    const auto taken = configurations_.receive(peer, message);
    if (!taken) {
        ++counters_.configurations_malformed;
        last_error_ = taken.error();
        last_error_->peer = peer;
    }
    send_due_configuration_request(now);
}

void peer_exchange::take(const std::string& peer,
                         const platform_status& message, time_point now) {
    if (unheard_since_wakeup_.count(peer) == 0) {
        handle_platform_age(peer, message, now);
    } else {
        query_after_wakeup(peer);
    }
    handle_announced_revision(peer, {message.revision, 0}, now);
    configurations_.hear_of(peer, message.newest, now);
    if (message.registry != state_.registry.fingerprint()) {
        // A message was lost, for example with a broken link. Without a request
        // now the difference would last until the next digest, and work would
        // be sent to a backend server that has left.
        auto tables = fingerprints_of(state_);
        tables.registry = message.registry;
        queue_records_request(peer, tables, now);
    }
}

void peer_exchange::handle_platform_age(const std::string& peer,
                                        const platform_status& message,
                                        time_point now) {
    if (state_.readers.hear(message.reader, message.age, now)) {
        state_.registry.platform_answered_other(now - message.age);
        tree_.record_newer_platform_answer(peer, now);
        platform_status_origin_ = peer;
    }
    auto& theirs = platform_time_of_peer_[peer];
    theirs = std::max(theirs, now - message.age);
}

void peer_exchange::tick(time_point now) {
    was_introduced_ = was_introduced_ || introduced();
    accuse_unreachable(now);
    state_.members.tick(now);
    state_.quarantine.expire(now);
    choose_upstream(now);
    send_due_records_request(now);
    send_due_configuration_request(now);
    configurations_.forget_unobtainable(now);
    state_.readers.set_behind(configurations_.behind_for(now));
    send_due_initial_digests(now);
    send_periodic_digest(now);
}

// A member that others still reach refutes the accusation, and is not accused
// again for the same broken link until the accusation interval has passed. It
// is then accused again because its refutation may have been sent just before
// it ended. A peer whose member record has not arrived yet cannot be accused;
// the next tick tries again.
void peer_exchange::accuse_unreachable(time_point now) {
    for (auto& [peer, deadline] : accuse_at_) {
        if (now >= deadline && state_.members.accuse(peer, now)) {
            deadline = now + timing_.accusation_interval;
            ++counters_.accusations;
        }
    }
}

void peer_exchange::send_due_configuration_request(time_point now) {
    if (auto request = configurations_.due_request(now)) {
        ++counters_.configurations_requested;
        outgoing_.push_back(std::move(*request));
    }
}

void peer_exchange::send_periodic_digest(time_point now) {
    if (now < next_digest_at_ || linked().empty()) {
        return;
    }
    const auto period = timing_.digest_period.count();
    std::uniform_int_distribution<duration::rep> jitter(period / 2,
                                                        period * 3 / 2);
    next_digest_at_ = now + duration(jitter(random_));
    std::uniform_int_distribution<std::size_t> pick(0, linked().size() - 1);
    const auto peer =
        std::next(linked().begin(), static_cast<std::ptrdiff_t>(pick(random_)));
    send_digest(*peer, query_epoch_for(*peer), 0);
}

} // namespace waxwingvale::membership
