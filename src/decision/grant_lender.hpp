#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// What a peer still asks for.
struct standing_ask {
    std::string peer;
    unsigned count = 0;
    time_point urgent_at{}; // latest start of its most urgent request
    time_point asked_at{};
};

// A slot given to a peer.
struct given_grant {
    std::string peer;
    std::string backend_server;
    time_point given_at{};
    time_point lease_end{};
};

// An owner's account of what peers ask for and which slots they hold.
class grant_lender {
public:
    grant_lender(const member_id& self, const scheduling_policy& policy);

    void ask(const grants_asked& asked, time_point now);
    // The most urgent ask that still stands, or null.
    const standing_ask* most_urgent(time_point now) const;
    // How many requests other instances ask for, but that peer's.
    unsigned asked_by_others(const std::string& peer, time_point now) const;

    grant_id give(const std::string& peer, const std::string& backend_server,
                  time_point now, duration lease);
    // Ends the grant; none when it is unknown, another's, or ended before.
    std::optional<given_grant> take_back(const std::string& peer,
                                         grant_id grant);
    // Ends one grant whose lease has run out: the peer may have died, and
    // without an end the slot would be lost for good.
    std::optional<given_grant> take_expired(time_point now);
    std::optional<time_point> next_expiry() const;
    std::size_t given() const { return given_.size(); }

private:
    bool stands(const standing_ask& ask, time_point now) const;
    given_grant end(grant_id grant);

    scheduling_policy policy_;
    grant_id next_grant_;
    std::map<std::string, standing_ask> asks_;
    std::unordered_map<grant_id, given_grant> given_;
    std::set<std::pair<time_point, grant_id>> expiries_;
};

} // namespace waxwingvale::decision
