#include <waxwingvale/membership/news_routes.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

// Ranks count downwards from here, in thousandths of a core.
constexpr unsigned weakest = 1000000;

} // namespace

news_routes::news_routes(std::string self, std::size_t most_listeners,
                         news_timing timing, time_point now)
    : self_(std::move(self)),
      most_listeners_(most_listeners),
      timing_(timing),
      patience_(timing.patience),
      newer_at_(now - timing.patience),
      newer_elsewhere_at_(newer_at_) {}

void news_routes::set_central(std::set<std::string> central) {
    central_ = std::move(central);
}

void news_routes::link_down(const std::string& peer) {
    linked_.erase(peer);
    listeners_.erase(peer);
    passed_over_.erase(peer);
    if (feed_ == peer) {
        feed_.clear();
    }
}

bool news_routes::add_listener(const std::string& peer) {
    const bool room =
        listeners_.size() < most_listeners_ || listeners_.count(peer) > 0;
    if (room) {
        listeners_.insert(peer);
    }
    return room;
}

void news_routes::declined(const std::string& peer, time_point now) {
    passed_over_[peer] = now + timing_.declined_wait;
    better_feed_wait_ =
        std::min(std::max(better_feed_wait_ * 2, timing_.better_feed_wait),
                 timing_.better_feed_wait_limit);
    look_for_better_at_ = now + better_feed_wait_;
    if (feed_ == peer) {
        feed_.clear();
    }
}

bool news_routes::is_passed_over(const std::string& peer,
                                 time_point now) const {
    const auto found = passed_over_.find(peer);
    return found != passed_over_.end() && now < found->second;
}

void news_routes::hear_newer(const std::string& from, time_point now) {
    newer_at_ = now;
    if (from.empty() || from != feed_) {
        newer_elsewhere_at_ = now;
    } else if (is_central(feed_)) {
        better_feed_wait_ = {};
    }
    patience_ = timing_.patience;
}

news_routes::rank news_routes::rank_of(const std::string& peer,
                                       const member_table& members) const {
    const auto* known = members.find(peer);
    unsigned kind = 2;
    if (is_central(peer)) {
        kind = 0;
    } else if (known != nullptr && known->life != liveness::gone) {
        kind = 1;
    }
    const bool near =
        known != nullptr && known->data_centre == members.self().data_centre;
    const unsigned listens = listeners_.count(peer) > 0 ? 1 : 0;
    const unsigned strength =
        known != nullptr ? known->capacity.cpu_permille : 0;
    return {listens, kind, weakest - std::min(strength, weakest), near ? 0 : 1};
}

std::string news_routes::best_candidate(const member_table& members,
                                        time_point now) const {
    std::string best;
    std::pair<rank, std::uint64_t> of_best;
    for (const auto& peer : linked_) {
        if (is_passed_over(peer, now)) {
            continue;
        }
        const std::pair<rank, std::uint64_t> of{
            rank_of(peer, members),
            decision::stable_hash(peer, decision::stable_hash(self_))};
        if (best.empty() || of < of_best) {
            best = peer;
            of_best = of;
        }
    }
    return best;
}

// A central instance hears news from the others, unless its links with them are
// broken; then its feed stays until word comes by another way again.
bool news_routes::needs_feed(bool stale, time_point now) const {
    if (!is_central(self_) || stale) {
        return true;
    }
    return !feed_.empty() && now - newer_elsewhere_at_ > timing_.patience;
}

bool news_routes::is_better(const std::string& candidate,
                            const member_table& members) const {
    return !candidate.empty() && candidate != feed_ &&
           rank_of(candidate, members) < rank_of(feed_, members);
}

void news_routes::change_feed(const std::string& to, time_point now,
                              std::vector<feed_change>& changes) {
    if (!feed_.empty()) {
        changes.push_back({feed_, false});
    }
    feed_ = to;
    feed_since_ = now;
    if (!feed_.empty()) {
        changes.push_back({feed_, true});
    }
}

std::vector<feed_change> news_routes::choose_feed(const member_table& members,
                                                  time_point now) {
    std::vector<feed_change> changes;
    const bool stale = now - newer_at_ >= patience_;
    if (!needs_feed(stale, now)) {
        if (!feed_.empty()) {
            change_feed({}, now, changes);
        }
        return changes;
    }
    if (!feed_.empty() && stale && now - feed_since_ >= patience_) {
        // Its own links may be broken, or dead without our knowing.
        patience_ = std::min(patience_ * 2, timing_.patience_limit);
        passed_over_[feed_] = now + patience_;
        const auto other = best_candidate(members, now);
        if (!other.empty()) {
            change_feed(other, now, changes);
        }
        return changes;
    }
    const auto best = best_candidate(members, now);
    const bool stayed = now - feed_since_ >= timing_.shortest_stay &&
                        now >= look_for_better_at_;
    if (feed_.empty() ? !best.empty() : stayed && is_better(best, members)) {
        change_feed(best, now, changes);
    }
    return changes;
}

std::set<std::string> news_routes::audience(const std::string& origin) const {
    auto told = listeners_;
    if (!feed_.empty()) {
        told.insert(feed_);
    }
    if (is_central(self_) && !is_central(origin)) {
        std::set_intersection(central_.begin(), central_.end(), linked_.begin(),
                              linked_.end(), std::inserter(told, told.end()));
    }
    told.erase(origin);
    return told;
}

} // namespace waxwingvale::membership
