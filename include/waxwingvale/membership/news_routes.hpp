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

// The paces of news_routes.
struct news_timing {
    // Without newer word of the platform for this long another feed is tried.
    // It is longer than a reader's watch waits when nothing changes, and
    // shorter than the silence after which an instance reads for itself.
    duration patience = std::chrono::milliseconds(750);
    // The platform may be away: each feed that has no newer word either doubles
    // the patience, up to this.
    duration patience_limit = std::chrono::seconds(6);
    // A feed is not left for a better one sooner.
    duration shortest_stay = std::chrono::milliseconds(500);
    // A peer that had no room for a listener is not asked again sooner.
    duration declined_wait = std::chrono::milliseconds(500);
    // Whoever has a feed looks for a better one that much later after each that
    // had no room, twice as long each time, up to the limit: all better ones
    // may be full for good, and with each try the feed that serves is left.
    duration better_feed_wait = std::chrono::milliseconds(500);
    duration better_feed_wait_limit = std::chrono::seconds(30);
};

// A peer that is to begin, or to end, telling us its news.
struct feed_change {
    std::string peer;
    bool start = false;

    friend bool operator==(const feed_change& a, const feed_change& b) {
        return std::tie(a.peer, a.start) == std::tie(b.peer, b.start);
    }
};

// Whom an instance tells what it learns. Passed on over every link, one changed
// record would cross each link of a fleet twice, and what a start of all has to
// say grows with the square of its size; small machines then spend their
// processors and links on repetitions. So news goes along a tree: the central
// instances tell each other and whoever listens to them, and each other
// instance listens to one peer, its feed, and tells it what it sees itself.
// A feed that brings no newer word of the platform is left for another, and one
// that has as many listeners as its machine can serve declines more: when all
// start at once, hundreds would else listen to the few that they find first.
// What a breaking tree loses, comparing tables finds again. Pure.
class news_routes {
public:
    news_routes(std::string self, std::size_t most_listeners,
                news_timing timing, time_point now);

    // Those that tell each other, as far as this instance knows.
    void set_central(std::set<std::string> central);
    void link_up(const std::string& peer) { linked_.insert(peer); }
    void link_down(const std::string& peer);
    // The peer wants our news. False: there is no room for it.
    bool add_listener(const std::string& peer);
    void remove_listener(const std::string& peer) { listeners_.erase(peer); }
    // The peer had no room for us.
    void declined(const std::string& peer, time_point now);
    // Newer word of the platform has come from that peer; empty: it was read
    // here.
    void hear_newer(const std::string& from, time_point now);

    // Chooses the feed anew. The changes are to be told to the peers named.
    std::vector<feed_change> choose_feed(const member_table& members,
                                         time_point now);

    // Who is to be told what that peer said; empty: what was learned here.
    std::set<std::string> audience(const std::string& origin) const;
    bool is_central(const std::string& name) const {
        return central_.count(name) > 0;
    }
    const std::set<std::string>& central() const { return central_; }
    const std::set<std::string>& linked() const { return linked_; }
    const std::set<std::string>& listeners() const { return listeners_; }
    // Empty: none.
    const std::string& feed() const { return feed_; }

private:
    // Smaller is better.
    using rank = std::tuple<unsigned, unsigned, unsigned, unsigned>;

    rank rank_of(const std::string& peer, const member_table& members) const;
    std::string best_candidate(const member_table& members,
                               time_point now) const;
    bool is_passed_over(const std::string& peer, time_point now) const;
    bool needs_feed(bool stale, time_point now) const;
    bool is_better(const std::string& candidate,
                   const member_table& members) const;
    void change_feed(const std::string& to, time_point now,
                     std::vector<feed_change>& changes);

    std::string self_;
    std::size_t most_listeners_;
    news_timing timing_;
    std::set<std::string> central_;
    std::set<std::string> linked_;
    std::set<std::string> listeners_;
    std::string feed_;
    time_point feed_since_{};
    // Feeds that had no newer word, or no room, and until when they are left
    // alone.
    std::map<std::string, time_point> passed_over_;
    // When a better feed is looked for again, and how long the last wait was.
    time_point look_for_better_at_{};
    duration better_feed_wait_{};
    duration patience_;
    // When newer word came last, and when it came last by another way than the
    // feed.
    time_point newer_at_;
    time_point newer_elsewhere_at_;
};

} // namespace waxwingvale::membership
