#pragma once

#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <waxwingvale/decision/scheduler_actions.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// Asks owners for slots when the queue does not fit the own ones: one owner
// at a time, the one last heard to have idle slots first, and the next once
// that one answered that it has none left.
class grant_borrower {
public:
    explicit grant_borrower(const scheduling_policy& policy);

    // The owners to ask; what is known of those that stay is kept.
    void set_lenders(const std::vector<slot_owner>& owners,
                     const std::string& self,
                     const std::unordered_set<std::string>& reachable);

    // Asks for, or withdraws, what want (the number of waiting requests)
    // needs.
    void update(unsigned want, duration urgency, time_point now,
                std::vector<scheduler_action>& actions);

    void answered(const ask_answered& answer);
    // Counts the grant; false when it comes too late to be used: it answers
    // an ask older than lenders keep, so the slot may be another's by now.
    bool received(const std::string& peer, time_point now);
    // A message came: the peer is there.
    void heard(const std::string& peer);

    // Requests that every lender declined, with the latest come-back.
    std::optional<ask_answered> declined_by_all() const;
    void forget_declined();

    // A lender that did not answer for too long, or none. Time in which this
    // process itself did not run does not count.
    std::optional<std::string> silent(time_point now) const;
    void forgive_silence(time_point now);

    bool has_lenders() const { return !lenders_.empty(); }
    // When an ask must be repeated or counts as unanswered.
    std::optional<time_point> next_change() const;

private:
    struct lender {
        std::string name;
        unsigned outstanding = 0; // asked for and not yet received
        unsigned idle = 0;        // as it last said
        bool asked = false;       // an ask stands there
        bool answered = true;     // since the last ask
        time_point asked_at{};
        time_point silent_since{}; // first ask without an answer
        ask_answered last_answer;
    };

    lender* find(const std::string& peer);
    lender* next_to_ask();
    void ask(lender& at, unsigned want, duration urgency, time_point now,
             std::vector<scheduler_action>& actions) const;
    void withdraw(std::vector<scheduler_action>& actions);

    scheduling_policy policy_;
    std::vector<lender> lenders_;
};

} // namespace waxwingvale::decision
