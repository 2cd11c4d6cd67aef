#include "decision/unresponsive_owners.hpp"

#include <algorithm>

namespace waxwingvale::decision {

bool unresponsive_owners::add_unresponsive(const std::string& peer,
                                           time_point now) {
    return peers_.emplace(peer, peer_state{false, now + period_}).second;
}

bool unresponsive_owners::add_non_owner(const std::string& peer,
                                        time_point now) {
    const auto added = peers_.emplace(peer, peer_state{true, now + period_});
    added.first->second.not_owner = true;
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
        if (each.second.check_at <= now) {
            each.second.check_at = now + period_;
            due.push_back(each.first);
        }
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
