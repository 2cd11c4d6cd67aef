#include <waxwingvale/membership/update_tree.hpp>

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

update_tree::update_tree(std::string self, std::size_t max_subscribers,
                         update_tree_timing timing, time_point now)
    : self_(std::move(self)),
      max_subscribers_(max_subscribers),
      timing_(timing),
      staleness_timeout_(timing.staleness_timeout),
      newer_answer_at_(now - timing.staleness_timeout),
      newer_answer_elsewhere_at_(newer_answer_at_) {}

void update_tree::set_central(std::set<std::string> central) {
    central_ = std::move(central);
}

void update_tree::link_down(const std::string& peer) {
    linked_.erase(peer);
    subscribers_.erase(peer);
    avoided_until_.erase(peer);
    if (upstream_ == peer) {
        upstream_.clear();
    }
}

bool update_tree::add_subscriber(const std::string& peer) {
    const bool accepted =
        subscribers_.size() < max_subscribers_ || subscribers_.count(peer) > 0;
    if (accepted) {
        subscribers_.insert(peer);
    }
    return accepted;
}

void update_tree::handle_declined(const std::string& peer, time_point now) {
    avoided_until_[peer] = now + timing_.declined_retry_delay;
    better_upstream_delay_ = std::min(
        std::max(better_upstream_delay_ * 2, timing_.better_upstream_delay),
        timing_.max_better_upstream_delay);
    next_better_search_at_ = now + better_upstream_delay_;
    if (upstream_ == peer) {
        upstream_.clear();
    }
}

bool update_tree::is_avoided(const std::string& peer, time_point now) const {
    const auto found = avoided_until_.find(peer);
    return found != avoided_until_.end() && now < found->second;
}

void update_tree::record_newer_platform_answer(const std::string& from,
                                               time_point now) {
    newer_answer_at_ = now;
    if (from.empty() || from != upstream_) {
        newer_answer_elsewhere_at_ = now;
    } else if (is_central(upstream_)) {
        better_upstream_delay_ = {};
    }
    staleness_timeout_ = timing_.staleness_timeout;
}

update_tree::rank update_tree::rank_of(const std::string& peer,
                                       const member_table& members) const {
    const auto* known = members.find(peer);
    unsigned kind = 2;
    if (is_central(peer)) {
        kind = 0;
    } else if (known != nullptr && known->life != liveness::gone) {
        kind = 1;
    }
    if (known != nullptr && known->runs_late) {
        kind = 3; // its news come late
    }
    const bool same_data_centre =
        known != nullptr && known->data_centre == members.self().data_centre;
    const unsigned is_subscriber = subscribers_.count(peer) > 0 ? 1 : 0;
    const unsigned strength =
        known != nullptr ? known->capacity.cpu_permille : 0;
    return {is_subscriber, kind,
            max_ranked_strength - std::min(strength, max_ranked_strength),
            same_data_centre ? 0 : 1};
}

std::string update_tree::best_candidate(const member_table& members,
                                        time_point now) const {
    std::string best;
    std::pair<rank, std::uint64_t> best_rank;
    for (const auto& peer : linked_) {
        if (is_avoided(peer, now)) {
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
bool update_tree::needs_upstream(bool stale, time_point now) const {
    if (!is_central(self_) || stale) {
        return true;
    }
    return !upstream_.empty() &&
           now - newer_answer_elsewhere_at_ > timing_.staleness_timeout;
}

bool update_tree::is_better(const std::string& candidate,
                            const member_table& members) const {
    return !candidate.empty() && candidate != upstream_ &&
           rank_of(candidate, members) < rank_of(upstream_, members);
}

void update_tree::change_upstream(const std::string& peer, time_point now,
                                  std::vector<upstream_change>& changes) {
    if (!upstream_.empty()) {
        changes.push_back({upstream_, false});
    }
    upstream_ = peer;
    upstream_since_ = now;
    if (!upstream_.empty()) {
        changes.push_back({upstream_, true});
    }
}

std::vector<upstream_change>
update_tree::choose_upstream(const member_table& members, time_point now) {
    std::vector<upstream_change> changes;
    const bool stale = now - newer_answer_at_ >= staleness_timeout_;
    if (!needs_upstream(stale, now)) {
        if (!upstream_.empty()) {
            change_upstream({}, now, changes);
        }
        return changes;
    }
    if (!upstream_.empty() && stale &&
        now - upstream_since_ >= staleness_timeout_) {
        // The upstream peer may have lost its own links, or the link to it may
        // be dead without having been closed.
        staleness_timeout_ =
            std::min(staleness_timeout_ * 2, timing_.max_staleness_timeout);
        avoided_until_[upstream_] = now + staleness_timeout_;
        const auto other = best_candidate(members, now);
        if (!other.empty()) {
            change_upstream(other, now, changes);
        }
        return changes;
    }
    const auto best = best_candidate(members, now);
    const bool may_search =
        now - upstream_since_ >= timing_.min_subscription_time &&
        now >= next_better_search_at_;
    if (upstream_.empty() ? !best.empty()
                          : may_search && is_better(best, members)) {
        change_upstream(best, now, changes);
    }
    return changes;
}

std::set<std::string> update_tree::recipients(const std::string& origin) const {
    auto recipients = subscribers_;
    if (!upstream_.empty()) {
        recipients.insert(upstream_);
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
