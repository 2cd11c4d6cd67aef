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
    retry_delays_.erase(request);
    for (lender& target : lenders_) {
        target.declined.erase(request);
    }
}

void grant_borrower::send_ask(lender& target, ask_slots message, time_point now,
                              std::vector<scheduler_action>& actions) {
    target.asked = true;
    target.asked_at = now;
    if (target.answered) {
        target.unanswered_since = now;
    }
    target.answered = false;
    for (const waiting_request& each : message.waiting) {
        target.pending.insert(each.request);
    }
    message.peer = target.name;
    actions.emplace_back(std::move(message));
}

void grant_borrower::send_full_ask(lender& target, const description& describe,
                                   time_point now,
                                   std::vector<scheduler_action>& actions) {
    ask_slots message;
    message.complete = true;
    for (const request_id request : waiting_) {
        if (!send_changes_ && message.waiting.size() == policy_.ask_limit) {
            break; // slots of this instance serve the others sooner
        }
        if (target.declined.count(request) == 0) {
            message.waiting.push_back(describe(request));
        }
    }
    target.full_ask_at = now;
    if (message.waiting.empty() && target.pending.empty()) {
        return; // it has declined all waiting requests
    }
    target.pending.clear();
    send_ask(target, std::move(message), now, actions);
}

void grant_borrower::send_ask_changes(lender& target,
                                      const description& describe,
                                      time_point now,
                                      std::vector<scheduler_action>& actions) {
    ask_slots message;
    for (const request_id request : added_) {
        if (target.pending.count(request) == 0) {
            message.waiting.push_back(describe(request));
        }
    }
    for (const request_id request : removed_) {
        if (target.pending.erase(request) != 0) {
            message.withdrawn.push_back(request);
        }
    }
    if (!message.waiting.empty()) {
        send_ask(target, std::move(message), now, actions);
    } else if (!message.withdrawn.empty()) {
        message.peer = target.name; // a withdrawal needs no answer
        actions.emplace_back(std::move(message));
    }
}

// Withdraws all pending requests from all lenders once no request waits.
void grant_borrower::withdraw_all(std::vector<scheduler_action>& actions) {
    for (lender& target : lenders_) {
        if (!target.pending.empty()) {
            ask_slots empty;
            empty.peer = target.name;
            empty.complete = true;
            actions.emplace_back(std::move(empty));
        }
        target.asked = false;
        target.answered = true;
        target.pending.clear();
        target.declined.clear();
    }
}

// Returns at most one lender: if all were asked for the same request, each
// would reserve a slot for it, and all but one of the slots would stay idle for
// a round trip.
grant_borrower::lender* grant_borrower::next_to_ask() {
    lender* best = nullptr;
    for (lender& target : lenders_) {
        if (target.asked && !target.answered) {
            return nullptr;
        }
        if (!target.asked && (best == nullptr || target.idle > best->idle)) {
            best = &target;
        }
    }
    return best;
}

void grant_borrower::update(const description& describe, bool send_changes,
                            time_point now,
                            std::vector<scheduler_action>& actions) {
    send_changes_ = send_changes;
    if (waiting_.empty()) {
        withdraw_all(actions);
    }
    for (lender& target : lenders_) {
        if (waiting_.empty() || !target.asked) {
            continue;
        }
        if (now - target.full_ask_at >= policy_.ask_refresh) {
            send_full_ask(target, describe, now, actions);
        } else if (send_changes) {
            send_ask_changes(target, describe, now, actions);
        }
    }
    added_.clear();
    removed_.clear();
    lender* next = waiting_.empty() ? nullptr : next_to_ask();
    if (next != nullptr) {
        send_full_ask(*next, describe, now, actions);
    }
}

void grant_borrower::message_received(const std::string& peer) {
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
    from->pending.erase(grant.request);
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
    from->pending.erase(request);
    from->declined.insert(request);
    duration& longest = retry_delays_[request];
    longest = std::max(longest, declined.retry_after);
    const bool declined_by_all =
        std::all_of(lenders_.begin(), lenders_.end(), [&](const lender& each) {
            return each.declined.count(request) != 0;
        });
    return declined_by_all ? std::optional<duration>(longest) : std::nullopt;
}

std::optional<std::string>
grant_borrower::unresponsive_lender(time_point now) const {
    for (const lender& target : lenders_) {
        if (target.asked && !target.answered &&
            now - target.unanswered_since >= policy_.silence_limit) {
            return target.name;
        }
    }
    return std::nullopt;
}

void grant_borrower::forgive_silence(duration suspended, time_point now) {
    for (lender& target : lenders_) {
        target.unanswered_since =
            std::min(target.unanswered_since + suspended, now);
    }
}

std::optional<time_point> grant_borrower::next_change() const {
    std::optional<time_point> next;
    const auto consider = [&](time_point when) {
        next = next ? std::min(*next, when) : when;
    };
    for (const lender& target : lenders_) {
        if (!target.asked) {
            continue;
        }
        consider(target.full_ask_at + policy_.ask_refresh);
        if (!target.answered) {
            consider(target.unanswered_since + policy_.silence_limit);
        }
    }
    return next;
}

} // namespace waxwingvale::decision
