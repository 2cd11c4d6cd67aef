#include "decision/unresponsive_owners.hpp"

#include <algorithm>

namespace waxwingvale::decision {

namespace {

// Longest pause between two checks of an unresponsive peer, in check periods.
constexpr int max_pause_periods = 8;

} // namespace

bool unresponsive_owners::add_unresponsive(const std::string& peer,
                                           time_point now) {
    return peers_.emplace(peer, peer_state{false, now + period_, period_})
        .second;
}

bool unresponsive_owners::add_non_owner(const std::string& peer,
                                        time_point now) {
    const auto added =
        peers_.emplace(peer, peer_state{true, now + period_, period_});
    added.first->second.not_owner = true;
    added.first->second.pause = period_;
    return added.second;
}

bool unresponsive_owners::message_received(const std::string& peer) {
    const auto known = peers_.find(peer);
    if (known == peers_.end() || known->second.not_owner) {
        return false;
    }
    peers_.erase(known);
    return true;
}

bool unresponsive_owners::remove(const std::string& peer) {
    return peers_.erase(peer) != 0;
}

void unresponsive_owners::check_all_now(time_point now) {
    if (now < next_forced_check_) {
        return;
    }
    next_forced_check_ = now + period_;
    for (auto& each : peers_) {
        each.second.check_at = std::min(each.second.check_at, now);
    }
}

std::vector<std::string> unresponsive_owners::take_due_checks(time_point now) {
    std::vector<std::string> due;
    for (auto& each : peers_) {
        peer_state& peer = each.second;
        if (peer.check_at > now) {
            continue;
        }
        peer.check_at = now + peer.pause;
        if (!peer.not_owner) {
            peer.pause = std::min(peer.pause * 2, period_ * max_pause_periods);
        }
        due.push_back(each.first);
    }
    return due;
}

std::optional<time_point> unresponsive_owners::next_check() const {
    std::optional<time_point> next;
    for (const auto& each : peers_) {
        const time_point check = each.second.check_at;
        next = next ? std::min(*next, check) : check;
    }
    return next;
}

std::vector<std::string> unresponsive_owners::names() const {
    std::vector<std::string> all;
    for (const auto& each : peers_) {
        all.push_back(each.first);
    }
    return all;
}

} // namespace waxwingvale::decision
