#include "decision/grant_borrower.hpp"

#include <algorithm>
#include <utility>

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

void grant_borrower::add(request_id request) {
    waiting_.insert(request);
    added_.insert(request);
    removed_.erase(request);
}

void grant_borrower::remove(request_id request) {
    waiting_.erase(request);
    added_.erase(request);
    removed_.insert(request);
    come_back_.erase(request);
    for (lender& at : lenders_) {
        at.declined.erase(request);
    }
}

void grant_borrower::tell(lender& at, ask_slots message, time_point now,
                          std::vector<scheduler_action>& actions) {
    at.asked = true;
    at.asked_at = now;
    if (at.answered) {
        at.silent_since = now;
    }
    at.answered = false;
    for (const waiting_request& each : message.waiting) {
        at.told.insert(each.request);
    }
    message.peer = at.name;
    actions.emplace_back(std::move(message));
}

void grant_borrower::name_all(lender& at, const description& describe,
                              time_point now,
                              std::vector<scheduler_action>& actions) {
    ask_slots message;
    message.whole = true;
    for (const request_id request : waiting_) {
        if (!at_once_ && message.waiting.size() == policy_.ask_limit) {
            break; // own slots serve the rest sooner
        }
        if (at.declined.count(request) == 0) {
            message.waiting.push_back(describe(request));
        }
    }
    at.named_all_at = now;
    if (message.waiting.empty() && at.told.empty()) {
        return; // it has declined all that waits
    }
    at.told.clear();
    tell(at, std::move(message), now, actions);
}

void grant_borrower::name_changes(lender& at, const description& describe,
                                  time_point now,
                                  std::vector<scheduler_action>& actions) {
    ask_slots message;
    for (const request_id request : added_) {
        if (at.told.count(request) == 0) {
            message.waiting.push_back(describe(request));
        }
    }
    for (const request_id request : removed_) {
        if (at.told.erase(request) != 0) {
            message.withdrawn.push_back(request);
        }
    }
    if (!message.waiting.empty()) {
        tell(at, std::move(message), now, actions);
    } else if (!message.withdrawn.empty()) {
        message.peer = at.name; // needs no answer
        actions.emplace_back(std::move(message));
    }
}

// Nothing waits any more: what lenders still hold of ours is taken back.
void grant_borrower::withdraw(std::vector<scheduler_action>& actions) {
    for (lender& at : lenders_) {
        if (!at.told.empty()) {
            ask_slots nothing;
            nothing.peer = at.name;
            nothing.whole = true;
            actions.emplace_back(std::move(nothing));
        }
        at.asked = false;
        at.answered = true;
        at.told.clear();
        at.declined.clear();
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

void grant_borrower::update(const description& describe, bool at_once,
                            time_point now,
                            std::vector<scheduler_action>& actions) {
    at_once_ = at_once;
    if (waiting_.empty()) {
        withdraw(actions);
    }
    for (lender& at : lenders_) {
        if (waiting_.empty() || !at.asked) {
            continue;
        }
        if (now - at.named_all_at >= policy_.ask_refresh) {
            name_all(at, describe, now, actions);
        } else if (at_once) {
            name_changes(at, describe, now, actions);
        }
    }
    added_.clear();
    removed_.clear();
    lender* next = waiting_.empty() ? nullptr : next_to_ask();
    if (next != nullptr) {
        name_all(*next, describe, now, actions);
    }
}

void grant_borrower::heard(const std::string& peer) {
    if (lender* from = find(peer)) {
        from->answered = true;
    }
}

void grant_borrower::answered(const ask_answered& answer) {
    if (lender* from = find(answer.peer)) {
        from->idle = answer.idle;
    }
}

bool grant_borrower::received(const grant_received& grant, time_point now) {
    lender* from = find(grant.peer);
    if (from == nullptr) {
        return false;
    }
    from->told.erase(grant.request);
    return now - from->asked_at <= policy_.ask_lifetime;
}

std::optional<duration>
grant_borrower::declined(const std::string& peer,
                         const declined_request& declined) {
    lender* from = find(peer);
    const request_id request = declined.request;
    if (from == nullptr || waiting_.count(request) == 0) {
        return std::nullopt;
    }
    from->told.erase(request);
    from->declined.insert(request);
    duration& longest = come_back_[request];
    longest = std::max(longest, declined.come_back_in);
    const bool by_all =
        std::all_of(lenders_.begin(), lenders_.end(), [&](const lender& each) {
            return each.declined.count(request) != 0;
        });
    return by_all ? std::optional<duration>(longest) : std::nullopt;
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
        consider(at.named_all_at + policy_.ask_refresh);
        if (!at.answered) {
            consider(at.silent_since + policy_.silence_limit);
        }
    }
    return next;
}

} // namespace waxwingvale::decision
