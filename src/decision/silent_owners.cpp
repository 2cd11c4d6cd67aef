#include "decision/silent_owners.hpp"

#include <algorithm>

namespace waxwingvale::decision {

bool silent_owners::add_silent(const std::string& peer, time_point now) {
    return peers_.emplace(peer, peer_state{false, now + period_}).second;
}

bool silent_owners::add_denying(const std::string& peer, time_point now) {
    const auto added = peers_.emplace(peer, peer_state{true, now + period_});
    added.first->second.not_owner = true;
    return added.second;
}

bool silent_owners::heard(const std::string& peer) {
    const auto known = peers_.find(peer);
    if (known == peers_.end() || known->second.not_owner) {
        return false;
    }
    peers_.erase(known);
    return true;
}

bool silent_owners::remove(const std::string& peer) {
    return peers_.erase(peer) != 0;
}

void silent_owners::look_at_once(time_point now) {
    if (now < next_forced_check_) {
        return;
    }
    next_forced_check_ = now + period_;
    for (auto& each : peers_) {
        each.second.check_at = std::min(each.second.check_at, now);
    }
}

std::vector<std::string> silent_owners::take_due(time_point now) {
    std::vector<std::string> due;
    for (auto& each : peers_) {
        if (each.second.check_at <= now) {
            each.second.check_at = now + period_;
            due.push_back(each.first);
        }
    }
    return due;
}

std::optional<time_point> silent_owners::next_look() const {
    std::optional<time_point> next;
    for (const auto& each : peers_) {
        const time_point check = each.second.check_at;
        next = next ? std::min(*next, check) : check;
    }
    return next;
}

std::vector<std::string> silent_owners::names() const {
    std::vector<std::string> all;
    for (const auto& each : peers_) {
        all.push_back(each.first);
    }
    return all;
}

} // namespace waxwingvale::decision
