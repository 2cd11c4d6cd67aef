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

// Asks owners for slots for the requests that wait at this instance. Asks one
// owner at a time, starting with the one that last reported the most idle
// slots, and the next one after that owner has answered.
class grant_borrower {
public:
    explicit grant_borrower(const scheduling_policy& policy);

    // Sets the owners to ask. The state of owners that were in the previous set
    // is kept.
    void set_lenders(const std::vector<slot_owner>& owners,
                     const std::string& self,
                     const std::unordered_set<std::string>& reachable);

    // Adds or removes a waiting request.
    void add(request_id request);
    void remove(request_id request);

    // Sends the asks and withdrawals that are due. `describe` returns the
    // description of a waiting request. An instance whose own slots serve most
    // waiting requests only sends a full list from time to time; `send_changes`
    // is true for an instance without working slots, which depends on lenders
    // for each request and sends each change at once.
    using description = std::function<waiting_request(request_id)>;
    void update(const description& describe, bool send_changes, time_point now,
                std::vector<scheduler_action>& actions);

    // Records a message from the peer, which shows that it responds.
    void message_received(const std::string& peer);
    void answered(const ask_answered& answer);
    // Records the grant. Returns false if it comes too late: it answers an ask
    // that is older than lenders keep asks, so the slot may be granted to
    // another instance by now.
    bool received(const grant_received& grant, time_point now);
    // Records that a lender declined the request. When all lenders have
    // declined it, returns the longest of their times to come back.
    std::optional<duration> declined(const std::string& peer,
                                     const declined_request& declined);

    // Returns a lender that has not answered within the silence limit, if any.
    std::optional<std::string> unresponsive_lender(time_point now) const;
    // This process was suspended for that long: what lenders sent meanwhile may
    // not have been read, so that time is not their silence. Only that time:
    // counted anew from here, silence would never end in a process that is
    // suspended again and again.
    void forgive_silence(duration suspended, time_point now);

    bool has_lenders() const { return !lenders_.empty(); }
    // When the next full ask is due or the next lender counts as unresponsive.
    std::optional<time_point> next_change() const;

private:
    struct lender {
        std::string name;
        unsigned idle = 0;             // idle slots, as last reported
        bool asked = false;            // holds an ask of this instance
        bool answered = true;          // since the last ask
        time_point asked_at{};         // when the last ask was sent
        time_point full_ask_at{};      // when the last full ask was sent
        time_point unanswered_since{}; // first ask that it has not answered
        // Requests that it was asked for and has neither granted nor declined.
        std::set<request_id> pending;
        std::set<request_id> declined;
    };

    lender* find(const std::string& peer);
    lender* next_to_ask();
    void send_full_ask(lender& target, const description& describe,
                       time_point now, std::vector<scheduler_action>& actions);
    void send_ask_changes(lender& target, const description& describe,
                          time_point now,
                          std::vector<scheduler_action>& actions);
    void send_ask(lender& target, ask_slots message, time_point now,
                  std::vector<scheduler_action>& actions);
    void withdraw_all(std::vector<scheduler_action>& actions);

    scheduling_policy policy_;
    std::vector<lender> lenders_;
    bool send_changes_ = true;
    std::set<request_id> waiting_;
    std::set<request_id> added_; // since the last update
    std::set<request_id> removed_;
    std::unordered_map<request_id, duration> retry_delays_;
};

} // namespace waxwingvale::decision
