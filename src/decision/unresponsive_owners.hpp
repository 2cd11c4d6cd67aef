#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Peers that are owners according to the view and connected, but do not grant
// slots: they leave asks unanswered or answer that they are no owner. They
// count as unreachable. Each is regularly asked for a status answer, because it
// may not respond otherwise: an ask that arrives before the peer has its
// configuration is never answered, and a peer that becomes an owner does not
// know which instances it has told that it was none. Without these checks this
// instance would keep using a share of slots that the owner also grants to
// others.
class unresponsive_owners {
public:
    // check_period: how soon a peer is asked for a status answer. One that
    // leaves it unanswered is asked again at growing intervals: the asks of all
    // instances would keep an owner that runs late from anything else.
    explicit unresponsive_owners(duration check_period)
        : period_(check_period) {}

    // Adds a peer that left an ask unanswered. This and add_non_owner() return
    // true if the peer is new in the set.
    bool add_unresponsive(const std::string& peer, time_point now);
    // Adds a peer that answered that it is no owner.
    bool add_non_owner(const std::string& peer, time_point now);
    // Records a message of any kind from the peer. Removes the peer if it was
    // only unresponsive; a message does not make it an owner. This and remove()
    // return true if the peer was removed.
    bool message_received(const std::string& peer);
    // Removes a peer that has acted as an owner or whose connection has closed.
    bool remove(const std::string& peer);

    // Makes the checks of all peers due now, since their state may have
    // changed. Calls within one check period of the last effective one are
    // ignored; the next regular check covers them.
    void check_all_now(time_point now);
    // Returns the peers whose check is due and schedules their next check.
    std::vector<std::string> take_due_checks(time_point now);
    std::optional<time_point> next_check() const;
    std::vector<std::string> names() const;

private:
    struct peer_state {
        bool not_owner = false;
        time_point check_at{};
        duration pause{}; // after the next check
    };

    duration period_;
    time_point next_forced_check_{};
    std::map<std::string, peer_state> peers_;
};

} // namespace waxwingvale::decision
