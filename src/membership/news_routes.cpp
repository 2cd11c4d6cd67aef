#include <waxwingvale/membership/news_routes.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

// The machine strength at which a rank stops improving, in thousandths of a
// core.
constexpr unsigned max_ranked_strength = 1000000;

} // namespace

news_routes::news_routes(std::string self, std::size_t max_subscribers,
                         news_timing timing, time_point now)
    : self_(std::move(self)),
      most_listeners_(max_subscribers),
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
    const bool accepted =
        listeners_.size() < most_listeners_ || listeners_.count(peer) > 0;
    if (accepted) {
        listeners_.insert(peer);
    }
    return accepted;
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
    const bool same_data_centre =
        known != nullptr && known->data_centre == members.self().data_centre;
    const unsigned is_subscriber = listeners_.count(peer) > 0 ? 1 : 0;
    const unsigned strength =
        known != nullptr ? known->capacity.cpu_permille : 0;
    return {is_subscriber, kind,
            max_ranked_strength - std::min(strength, max_ranked_strength),
            same_data_centre ? 0 : 1};
}

std::string news_routes::best_candidate(const member_table& members,
                                        time_point now) const {
    std::string best;
    std::pair<rank, std::uint64_t> best_rank;
    for (const auto& peer : linked_) {
        if (is_passed_over(peer, now)) {
            continue;
        }
        const std::pair<rank, std::uint64_t> candidate_rank{
            rank_of(peer, members),
            decision::stable_hash(peer, decision::stable_hash(self_))};
        if (best.empty() || candidate_rank < best_rank) {
            best = peer;
            best_rank = candidate_rank;
        }
    }
    return best;
}

// A central instance receives updates from the other central ones and needs no
// upstream peer, unless its links to them are broken. In that case it keeps its
// upstream peer until newer answers of the platform arrive from another source
// again.
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

void news_routes::change_feed(const std::string& peer, time_point now,
                              std::vector<feed_change>& changes) {
    if (!feed_.empty()) {
        changes.push_back({feed_, false});
    }
    feed_ = peer;
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
        // The upstream peer may have lost its own links, or the link to it may
        // be dead without having been closed.
        patience_ = std::min(patience_ * 2, timing_.patience_limit);
        passed_over_[feed_] = now + patience_;
        const auto other = best_candidate(members, now);
        if (!other.empty()) {
            change_feed(other, now, changes);
        }
        return changes;
    }
    const auto best = best_candidate(members, now);
    const bool may_search = now - feed_since_ >= timing_.shortest_stay &&
                            now >= look_for_better_at_;
    if (feed_.empty() ? !best.empty()
                      : may_search && is_better(best, members)) {
        change_feed(best, now, changes);
    }
    return changes;
}

std::set<std::string> news_routes::audience(const std::string& origin) const {
    auto recipients = listeners_;
    if (!feed_.empty()) {
        recipients.insert(feed_);
    }
    if (is_central(self_) && !is_central(origin)) {
        std::set_intersection(central_.begin(), central_.end(), linked_.begin(),
                              linked_.end(),
                              std::inserter(recipients, recipients.end()));
    }
    recipients.erase(origin);
    return recipients;
}

} // namespace waxwingvale::membership
