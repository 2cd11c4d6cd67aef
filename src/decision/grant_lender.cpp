#include "decision/grant_lender.hpp"

#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

// Grant numbers of two incarnations must not coincide: a grant that is returned
// late to a restarted owner would free a slot that is in use. The upper half is
// a hash of the name and incarnation; the lower half counts.
grant_id first_grant(const member_id& self) {
    constexpr grant_id lower_half = 0xffffffffULL;
    return stable_hash(self.name, self.incarnation) & ~lower_half;
}

} // namespace

grant_lender::grant_lender(const member_id& self)
    : next_grant_(first_grant(self)) {}

grant_id grant_lender::give(given_grant given) {
    const grant_id grant = next_grant_++;
    expiries_.insert({given.lease_end, grant});
    origins_.insert(given.origin);
    given_.emplace(grant, std::move(given));
    return grant;
}

bool grant_lender::has_grant_for(const request_origin& origin) const {
    return origins_.count(origin) != 0;
}

given_grant grant_lender::end(grant_id grant) {
    const auto found = given_.find(grant);
    given_grant ended = std::move(found->second);
    expiries_.erase({ended.lease_end, grant});
    origins_.erase(ended.origin);
    given_.erase(found);
    return ended;
}

std::optional<given_grant> grant_lender::end_returned(const std::string& peer,
                                                      grant_id grant) {
    const auto found = given_.find(grant);
    if (found == given_.end() || found->second.origin.peer != peer) {
        return std::nullopt;
    }
    return end(grant);
}

std::optional<given_grant> grant_lender::end_expired(time_point now) {
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
