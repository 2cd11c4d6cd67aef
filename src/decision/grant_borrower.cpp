#include "decision/grant_borrower.hpp"

#include <algorithm>

namespace waxwingvale::decision {

grant_borrower::grant_borrower(const scheduling_policy& policy)
    : policy_(policy) {}

void grant_borrower::set_lenders(
    const std::vector<slot_owner>& owners, const std::string& self,
    const std::unordered_set<std::string>& reachable) {
    std::vector<lender> former = std::move(lenders_);
    lenders_.clear();
    for (const slot_owner& owner : owners) {
        const std::string& name = owner.member.name;
        if (name == self || reachable.count(name) == 0 || owner.slots == 0) {
            continue;
        }
        const auto known =
            std::find_if(former.begin(), former.end(),
                         [&](const lender& l) { return l.name == name; });
        lenders_.push_back(known != former.end() ? *known : lender());
        lenders_.back().name = name;
    }
}

grant_borrower::lender* grant_borrower::find(const std::string& peer) {
    const auto found =
        std::find_if(lenders_.begin(), lenders_.end(),
                     [&](const lender& l) { return l.name == peer; });
    return found == lenders_.end() ? nullptr : &*found;
}

void grant_borrower::ask(lender& at, unsigned want, duration urgency,
                         time_point now,
                         std::vector<scheduler_action>& actions) const {
    at.outstanding = std::min(want, policy_.ask_limit);
    at.asked = true;
    at.asked_at = now;
    if (at.answered) {
        at.silent_since = now;
    }
    at.answered = false;
    actions.emplace_back(ask_grants{at.name, at.outstanding, urgency});
}

void grant_borrower::withdraw(std::vector<scheduler_action>& actions) {
    for (lender& at : lenders_) {
        if (at.asked && at.outstanding > 0) {
            actions.emplace_back(ask_grants{at.name, 0, duration::zero()});
        }
        at.asked = false;
        at.answered = true;
        at.outstanding = 0;
        at.last_answer = ask_answered();
    }
}

// One lender at a time: asking all for one slot would make each hold one
// back, and all but one of them stand idle for a round trip.
grant_borrower::lender* grant_borrower::next_to_ask() {
    lender* best = nullptr;
    for (lender& at : lenders_) {
        if (at.asked && !at.answered) {
            return nullptr;
        }
        if (!at.asked && (best == nullptr || at.idle > best->idle)) {
            best = &at;
        }
    }
    return best;
}

void grant_borrower::update(unsigned want, duration urgency, time_point now,
                            std::vector<scheduler_action>& actions) {
    if (want == 0) {
        withdraw(actions);
        return;
    }
    for (lender& at : lenders_) {
        const unsigned capped = std::min(want, policy_.ask_limit);
        const bool old = now - at.asked_at >= policy_.ask_refresh;
        if (at.asked && (old || capped > 2 * at.outstanding)) {
            ask(at, want, urgency, now, actions);
        }
    }
    if (lender* next = next_to_ask()) {
        ask(*next, want, urgency, now, actions);
    }
}

void grant_borrower::answered(const ask_answered& answer) {
    if (lender* from = find(answer.peer)) {
        from->answered = true;
        from->idle = answer.idle;
        from->last_answer = answer;
    }
}

bool grant_borrower::received(const std::string& peer, time_point now) {
    lender* from = find(peer);
    if (from == nullptr) {
        return false;
    }
    if (from->outstanding > 0 && --from->outstanding == 0) {
        from->asked = false;
    }
    return now - from->asked_at <= policy_.ask_lifetime;
}

void grant_borrower::heard(const std::string& peer) {
    if (lender* from = find(peer)) {
        from->answered = true;
    }
}

std::optional<ask_answered> grant_borrower::declined_by_all() const {
    ask_answered all;
    bool first = true;
    for (const lender& at : lenders_) {
        const ask_answered& answer = at.last_answer;
        if (!at.asked || answer.declined == 0) {
            return std::nullopt;
        }
        all.declined =
            first ? answer.declined : std::min(all.declined, answer.declined);
        all.come_back_in = std::max(all.come_back_in, answer.come_back_in);
        all.come_back_interval =
            std::max(all.come_back_interval, answer.come_back_interval);
        first = false;
    }
    return first ? std::nullopt : std::optional<ask_answered>(all);
}

void grant_borrower::forget_declined() {
    for (lender& at : lenders_) {
        at.last_answer.declined = 0;
    }
}

std::optional<std::string> grant_borrower::silent(time_point now) const {
    for (const lender& at : lenders_) {
        if (at.asked && !at.answered &&
            now - at.silent_since >= policy_.silence_limit) {
            return at.name;
        }
    }
    return std::nullopt;
}

void grant_borrower::forgive_silence(time_point now) {
    for (lender& at : lenders_) {
        at.silent_since = now;
    }
}

std::optional<time_point> grant_borrower::next_change() const {
    std::optional<time_point> next;
    const auto consider = [&](time_point when) {
        next = next ? std::min(*next, when) : when;
    };
    for (const lender& at : lenders_) {
        if (!at.asked) {
            continue;
        }
        consider(at.asked_at + policy_.ask_refresh);
        if (!at.answered) {
            consider(at.silent_since + policy_.silence_limit);
        }
    }
    return next;
}

} // namespace waxwingvale::decision
