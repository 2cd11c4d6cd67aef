#include <waxwingvale/membership/peer_exchange.hpp>

#include <algorithm>

// What peer_exchange does after a late wake-up.
namespace waxwingvale::membership {

void peer_exchange::woke_late(duration stopped, time_point now) {
    state_.members.forgive_suspicions(stopped, now);
    state_.readers.forgive_silence(stopped, now);
    configurations_.woke_late(now);
    for (auto& [peer, deadline] : accuse_at_) {
        deadline += stopped;
    }
    unheard_since_wakeup_ = linked();
    queried_since_wakeup_.clear();
    for (const auto& peer : wakeup_queries()) {
        query_after_wakeup(peer);
    }
}

// The peers from which news come first, then others. Queries to all would keep
// an instance with hundreds of links from anything else after each wake-up.
std::vector<std::string> peer_exchange::wakeup_queries() const {
    std::vector<std::string> order;
    const auto add = [&](const std::string& peer) {
        const bool known =
            std::find(order.begin(), order.end(), peer) != order.end();
        if (!known && order.size() < timing_.max_wakeup_queries) {
            order.push_back(peer);
        }
    };
    if (!tree_.upstream().empty()) {
        add(tree_.upstream());
    }
    for (const auto& peer : linked()) {
        if (tree_.is_central(peer)) {
            add(peer);
        }
    }
    for (const auto& peer : linked()) {
        add(peer);
    }
    return order;
}

void peer_exchange::query_after_wakeup(const std::string& peer) {
    if (queried_since_wakeup_.insert(peer).second) {
        send_digest(peer, fresh_.epoch(), 0);
    }
}

// The epoch for a digest to a peer: the current epoch if the view is not fresh
// or the peer has not answered since a late wake-up, else 0 for no query.
std::uint64_t peer_exchange::query_epoch_for(const std::string& peer) const {
    const bool asks = !fresh_.fresh() || unheard_since_wakeup_.count(peer) > 0;
    return asks ? fresh_.epoch() : 0;
}

} // namespace waxwingvale::membership
