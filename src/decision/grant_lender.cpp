#include "decision/grant_lender.hpp"

#include <algorithm>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

// Grant numbers of two incarnations must not meet: a grant returned late to a
// restarted owner would free a slot that is in use. The upper half comes from
// the incarnation, the lower counts.
grant_id first_grant(const member_id& self) {
    constexpr grant_id lower_half = 0xffffffffULL;
    return stable_hash(self.name, self.incarnation) & ~lower_half;
}

} // namespace

grant_lender::grant_lender(const member_id& self,
                           const scheduling_policy& policy)
    : policy_(policy), next_grant_(first_grant(self)) {}

void grant_lender::ask(const grants_asked& asked, time_point now) {
    if (asked.count == 0) {
        asks_.erase(asked.peer);
        return;
    }
    const unsigned count = std::min(asked.count, policy_.ask_limit);
    asks_[asked.peer] = {asked.peer, count, now + asked.urgency, now};
}

bool grant_lender::stands(const standing_ask& ask, time_point now) const {
    return ask.count > 0 && now - ask.asked_at <= policy_.ask_lifetime &&
           ask.urgent_at >= now;
}

const standing_ask* grant_lender::most_urgent(time_point now) const {
    const standing_ask* best = nullptr;
    for (const auto& named : asks_) {
        const standing_ask& ask = named.second;
        if (stands(ask, now) &&
            (best == nullptr || ask.urgent_at < best->urgent_at)) {
            best = &ask;
        }
    }
    return best;
}

unsigned grant_lender::asked_by_others(const std::string& peer,
                                       time_point now) const {
    unsigned sum = 0;
    for (const auto& named : asks_) {
        if (named.first != peer && stands(named.second, now)) {
            sum += named.second.count;
        }
    }
    return sum;
}

grant_id grant_lender::give(const std::string& peer,
                            const std::string& backend_server, time_point now,
                            duration lease) {
    const auto asked = asks_.find(peer);
    if (asked != asks_.end() && --asked->second.count == 0) {
        asks_.erase(asked);
    }
    const grant_id grant = next_grant_++;
    given_[grant] = {peer, backend_server, now, now + lease};
    expiries_.insert({now + lease, grant});
    return grant;
}

given_grant grant_lender::end(grant_id grant) {
    const auto found = given_.find(grant);
    given_grant ended = std::move(found->second);
    expiries_.erase({ended.lease_end, grant});
    given_.erase(found);
    return ended;
}

std::optional<given_grant> grant_lender::take_back(const std::string& peer,
                                                   grant_id grant) {
    const auto found = given_.find(grant);
    if (found == given_.end() || found->second.peer != peer) {
        return std::nullopt;
    }
    return end(grant);
}

std::optional<given_grant> grant_lender::take_expired(time_point now) {
    if (expiries_.empty() || expiries_.begin()->first > now) {
        return std::nullopt;
    }
    return end(expiries_.begin()->second);
}

std::optional<time_point> grant_lender::next_expiry() const {
    if (expiries_.empty()) {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

} // namespace waxwingvale::decision
