#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/membership/member_table.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// The timeouts and delays of update_tree.
struct update_tree_timing {
    // After this long without a newer answer of the discovery platform, another
    // upstream peer is tried. Longer than a reader's watch takes to return when
    // nothing changes, and shorter than the silence after which an instance
    // reads the platform itself.
    duration staleness_timeout = std::chrono::milliseconds(750);
    // The platform may be unavailable: each further upstream peer that has no
    // newer answer either doubles the timeout, up to this limit.
    duration max_staleness_timeout = std::chrono::seconds(6);
    // The minimum time before an upstream peer is replaced by a better one.
    duration min_subscription_time = std::chrono::milliseconds(500);
    // The minimum time before a peer that declined a subscription is asked
    // again.
    duration declined_retry_delay = std::chrono::milliseconds(500);
    // After a peer declined a subscription, the next search for a better
    // upstream peer waits this long, and twice as long after each further
    // refusal, up to the limit: all better peers may be full permanently, and
    // each attempt gives up the upstream peer that works.
    duration better_upstream_delay = std::chrono::milliseconds(500);
    duration max_better_upstream_delay = std::chrono::seconds(30);
};

// A peer to whose updates this instance subscribes, or from which it
// unsubscribes.
struct upstream_change {
    std::string peer;
    bool subscribe = false;

    friend bool operator==(const upstream_change& a, const upstream_change& b) {
        return std::tie(a.peer, a.subscribe) == std::tie(b.peer, b.subscribe);
    }
};

// Decides to which peers an instance sends updates.
//
// If updates were relayed over every link, each changed record would cross each
// link twice, and the traffic when a whole fleet starts would grow with the
// square of its size; small machines would spend their processors and links on
// duplicates. Updates therefore follow a tree: central instances send them to
// each other and to their subscribers; every other instance subscribes to one
// peer, its upstream peer, and sends it what it observes itself.
//
// An upstream peer that brings no newer answer of the discovery platform is
// replaced by another. An instance with as many subscribers as its machine can
// serve declines further ones; otherwise, when a whole fleet starts at once,
// hundreds of instances would subscribe to the few that they find first.
// Updates that are lost when the tree breaks are recovered by comparing tables.
// Does no I/O: the caller passes in events and the current time.
class update_tree {
public:
    update_tree(std::string self, std::size_t max_subscribers,
                update_tree_timing timing, time_point now);

    // Sets the central instances, as far as this instance knows them.
    void set_central(std::set<std::string> central);
    void link_up(const std::string& peer) { linked_.insert(peer); }
    void link_down(const std::string& peer);
    // Adds a peer that subscribes to our updates. Returns false if the limit of
    // subscribers is reached.
    bool add_subscriber(const std::string& peer);
    void remove_subscriber(const std::string& peer) {
        subscribers_.erase(peer);
    }
    // Records that a peer declined our subscription.
    void handle_declined(const std::string& peer, time_point now);
    // Records that a newer answer of the discovery platform came from a peer,
    // or, if the name is empty, was read by this instance.
    void record_newer_platform_answer(const std::string& from, time_point now);

    // Chooses the upstream peer again. The caller sends the returned changes to
    // the peers named in them.
    std::vector<upstream_change> choose_upstream(const member_table& members,
                                                 time_point now);

    // The peers to which an update that came from `origin` is relayed. An empty
    // `origin` means that this instance learned it itself.
    std::set<std::string> recipients(const std::string& origin) const;
    bool is_central(const std::string& name) const {
        return central_.count(name) > 0;
    }
    const std::set<std::string>& central() const { return central_; }
    const std::set<std::string>& linked() const { return linked_; }
    const std::set<std::string>& subscribers() const { return subscribers_; }
    // The upstream peer, or an empty name.
    const std::string& upstream() const { return upstream_; }

private:
    // The rank of a candidate for upstream peer; smaller is better. In order:
    // it subscribes to us; central, member or unknown; machine strength,
    // inverted; in another data centre.
    using rank = std::tuple<unsigned, unsigned, unsigned, unsigned>;

    rank rank_of(const std::string& peer, const member_table& members) const;
    std::string best_candidate(const member_table& members,
                               time_point now) const;
    bool is_avoided(const std::string& peer, time_point now) const;
    bool needs_upstream(bool stale, time_point now) const;
    bool is_better(const std::string& candidate,
                   const member_table& members) const;
    void change_upstream(const std::string& peer, time_point now,
                         std::vector<upstream_change>& changes);

    std::string self_;
    std::size_t max_subscribers_;
    update_tree_timing timing_;
    std::set<std::string> central_;
    std::set<std::string> linked_;
    std::set<std::string> subscribers_;
    std::string upstream_;
    time_point upstream_since_{};
    // Peers that had no newer answer of the platform or declined, and the time
    // until which they are not chosen.
    std::map<std::string, time_point> avoided_until_;
    // When a better upstream peer is searched for next, and how long the last
    // delay was.
    time_point next_better_search_at_{};
    duration better_upstream_delay_{};
    duration staleness_timeout_;
    // When a newer answer of the platform last arrived, and when one last
    // arrived from another source than the upstream peer.
    time_point newer_answer_at_;
    time_point newer_answer_elsewhere_at_;
};

} // namespace waxwingvale::membership
