#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "decision/backend_slots.hpp"
#include "decision/request_queue.hpp"
#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// A slot that is granted to a peer for one of its requests.
struct given_grant {
    request_origin origin;
    std::string request_class;
    std::string backend_server;
    attempt_ref attempt = 0;
    time_point lease_end{};
};

// The grants of an owner: its slots that peers use.
class grant_lender {
public:
    explicit grant_lender(const member_id& self);

    grant_id give(given_grant given);
    // Whether the peer already has a grant for the request. It may ask for the
    // request again before the grant reaches it.
    bool has_grant_for(const request_origin& origin) const;
    // Ends a grant that the peer returns. Returns nothing if the grant is
    // unknown, belongs to another peer, or has ended before.
    std::optional<given_grant> end_returned(const std::string& peer,
                                            grant_id grant);
    // Ends one grant whose lease has expired, if any. The peer may have died;
    // without a limit its slot would be lost for good.
    std::optional<given_grant> end_expired(time_point now);
    std::optional<time_point> next_expiry() const;
    std::size_t given() const { return given_.size(); }

private:
    given_grant end(grant_id grant);

    grant_id next_grant_;
    std::unordered_map<grant_id, given_grant> given_;
    std::set<request_origin> origins_;
    std::set<std::pair<time_point, grant_id>> expiries_;
};

} // namespace waxwingvale::decision
