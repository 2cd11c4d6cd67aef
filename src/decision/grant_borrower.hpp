#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <waxwingvale/decision/scheduler_actions.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// Tells owners of the requests that wait here for a slot: one owner at a time,
// the one last heard to have idle slots first, and the next once that one
// answered that it has none left.
class grant_borrower {
public:
    explicit grant_borrower(const scheduling_policy& policy);

    // The owners to ask; what is known of those that stay is kept.
    void set_lenders(const std::vector<slot_owner>& owners,
                     const std::string& self,
                     const std::unordered_set<std::string>& reachable);

    // A request waits, or waits no longer.
    void add(request_id request);
    void remove(request_id request);

    // Asks for, names again or withdraws what has to be. `describe` tells of a
    // request that waits. An owner, whose own slots serve most of what waits,
    // names only now and then what does; `at_once` is true for those that
    // depend on lenders for each request, having no slots that work.
    using description = std::function<waiting_request(request_id)>;
    void update(const description& describe, bool at_once, time_point now,
                std::vector<scheduler_action>& actions);

    // A message came: the peer is there.
    void heard(const std::string& peer);
    void answered(const ask_answered& answer);
    // Counts the grant; false when it comes too late to be used: it answers an
    // ask older than lenders keep, so the slot may be another's by now.
    bool received(const grant_received& grant, time_point now);
    // A lender won't find a slot for it. Once none is left that might, the
    // longest time to come back is returned.
    std::optional<duration> declined(const std::string& peer,
                                     const declined_request& declined);

    // A lender that did not answer for too long, or none. Time in which this
    // process itself did not run does not count.
    std::optional<std::string> silent(time_point now) const;
    void forgive_silence(time_point now);

    bool has_lenders() const { return !lenders_.empty(); }
    // When the requests must be named again or count as unanswered.
    std::optional<time_point> next_change() const;

private:
    struct lender {
        std::string name;
        unsigned idle = 0;         // as it last said
        bool asked = false;        // it knows of requests
        bool answered = true;      // since the last ask
        time_point asked_at{};     // when it last got a message
        time_point named_all_at{}; // when all that waits was last named
        time_point silent_since{}; // first ask without an answer
        std::set<request_id> told; // and neither granted nor declined
        std::set<request_id> declined;
    };

    lender* find(const std::string& peer);
    lender* next_to_ask();
    void name_all(lender& at, const description& describe, time_point now,
                  std::vector<scheduler_action>& actions);
    void name_changes(lender& at, const description& describe, time_point now,
                      std::vector<scheduler_action>& actions);
    void tell(lender& at, ask_slots message, time_point now,
              std::vector<scheduler_action>& actions);
    void withdraw(std::vector<scheduler_action>& actions);

    scheduling_policy policy_;
    std::vector<lender> lenders_;
    bool at_once_ = true;
    std::set<request_id> waiting_;
    std::set<request_id> added_; // since the last update
    std::set<request_id> removed_;
    std::unordered_map<request_id, duration> come_back_;
};

} // namespace waxwingvale::decision
