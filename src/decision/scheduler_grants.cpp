#include <algorithm>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

// How owners lend slots to peers and how instances borrow them.
namespace waxwingvale::decision {

namespace {

// A lease lasts for many usual service times, so that it ends before the
// request only when the peer has lost it.
constexpr int lease_service_times = 20;

} // namespace

void service_scheduler::impl::on(const grants_asked& event) {
    hear(event.peer);
    lender_.ask(event, now_);
    lend(work_waiting::first);
    if (event.count > 0) {
        answer(event);
    }
}

void service_scheduler::impl::lend(work_waiting waiting) {
    while (lend_one(waiting)) {
    }
}

// Each slot given stands idle for a round trip between the instances. Above
// capacity all owners have work waiting, and slots exchanged for little would
// cost goodput; an instance without slots has no other way.
bool service_scheduler::impl::ours_first(const standing_ask& ask) const {
    const bool owner = find_owner(view_.owners, ask.peer) != nullptr;
    const duration margin =
        owner ? policy_.owner_urgency_margin : policy_.urgency_margin;
    return !queue_.empty() && queue_.most_urgent() <= ask.urgent_at + margin;
}

// Gives the most urgent asker a slot, unless work of our own is as urgent.
bool service_scheduler::impl::lend_one(work_waiting waiting) {
    const standing_ask* ask = lender_.most_urgent(now_);
    if (ask == nullptr) {
        return false;
    }
    if (waiting == work_waiting::first && ours_first(*ask)) {
        return false;
    }
    slot_wish wish;
    wish.typical = admission_.typical({});
    const auto place = table_.choose(wish, now_);
    if (!place || !table_.owned(*place) ||
        table_.at(*place).health().failing()) {
        return false;
    }
    const duration lease = std::clamp(wish.typical * lease_service_times,
                                      policy_.lease_min, policy_.lease_max);
    const std::string server = table_.at(*place).name();
    const std::string peer = ask->peer;
    table_.start(*place, now_, false);
    const grant_id grant = lender_.give(peer, server, now_, lease);
    actions_->emplace_back(give_grant{peer, grant, server, lease});
    return true;
}

void service_scheduler::impl::answer(const grants_asked& asked) {
    answer_ask reply;
    reply.peer = asked.peer;
    reply.idle = queue_.empty() ? table_.idle_slots(now_) : 0;
    reply.declined = beyond_capacity(asked);
    if (reply.declined > 0) {
        const unsigned slots = table_.working_slots();
        reply.come_back_in =
            admission_.next_appointment(backlog(), slots, now_);
        for (unsigned i = 1; i < reply.declined; ++i) {
            admission_.next_appointment(backlog(), slots, now_);
        }
        reply.come_back_interval = admission_.time_to_serve(1.0, slots);
    }
    actions_->emplace_back(std::move(reply));
}

// How many of the requests asked for won't get a slot in time. Owners decide
// for themselves from their own queue; the others depend on this word, or
// their callers would wait for their deadlines in vain.
unsigned
service_scheduler::impl::beyond_capacity(const grants_asked& asked) const {
    const unsigned slots = table_.working_slots();
    if (find_owner(view_.owners, asked.peer) != nullptr || slots == 0) {
        return 0;
    }
    const duration interval =
        std::max(admission_.time_to_serve(1.0, slots), duration(1));
    const auto served = asked.urgency / interval;
    const auto before = static_cast<duration::rep>(
        queue_.size() + lender_.asked_by_others(asked.peer, now_));
    const auto fits = std::max<duration::rep>(served - before, 0);
    const duration::rep excess = static_cast<duration::rep>(asked.count) - fits;
    return static_cast<unsigned>(std::max<duration::rep>(excess, 0));
}

void service_scheduler::impl::on(const grant_returned& event) {
    hear(event.peer);
    const auto ended = lender_.take_back(event.peer, event.grant);
    if (!ended) {
        return; // its lease ran out before
    }
    if (event.unused) {
        if (const auto place = table_.find(ended->backend_server)) {
            table_.release(*place, ended->given_at, now_);
        }
        return;
    }
    learn(ended->backend_server, event.request_class, event.verdict,
          event.service_time, ended->given_at);
}

void service_scheduler::impl::end_leases() {
    while (const auto ended = lender_.take_expired(now_)) {
        if (const auto place = table_.find(ended->backend_server)) {
            table_.release(*place, ended->given_at, now_);
        }
    }
}

void service_scheduler::impl::on(const grant_received& event) {
    hear(event.peer);
    const bool in_time = borrower_.received(event.peer, now_);
    if (!in_time || !start_on_grant(event)) {
        return_unused(event);
    }
}

void service_scheduler::impl::return_unused(const grant_received& grant) {
    return_grant unused;
    unused.peer = grant.peer;
    unused.grant = grant.grant;
    unused.unused = true;
    actions_->emplace_back(std::move(unused));
}

// Starts the first waiting request that may run on the granted slot.
bool service_scheduler::impl::start_on_grant(const grant_received& grant) {
    const auto place = table_.find(grant.backend_server);
    if (!place) {
        return false;
    }
    std::vector<queued_request> parked;
    bool started = false;
    while (!started && !queue_.empty()) {
        queued_request entry = queue_.pop();
        const request_arrived& request = entry.arrival;
        // The owner may run other work beside it, which a suspect must not
        // meet.
        started = !request.isolated && !runs_stale(request) &&
                  table_.may_start(*place, wish_of(request, entry.arrived_at));
        if (started) {
            start(request, *place, grant.peer, grant.grant);
        } else {
            parked.push_back(std::move(entry));
        }
    }
    for (queued_request& entry : parked) {
        queue_.restore(std::move(entry));
    }
    return started;
}

void service_scheduler::impl::on(const ask_answered& event) {
    hear(event.peer);
    borrower_.answered(event);
    refuse_declined();
}

void service_scheduler::impl::refuse_declined() {
    if (table_.owns_any()) {
        return;
    }
    const auto declined = borrower_.declined_by_all();
    if (!declined) {
        return;
    }
    duration come_back_in = declined->come_back_in;
    for (unsigned i = 0; i < declined->declined && !queue_.empty(); ++i) {
        const queued_request entry = queue_.pop_least_urgent();
        actions_->emplace_back(refuse_request{
            entry.arrival.request, refusal_reason::too_late, come_back_in});
        come_back_in += declined->come_back_interval;
    }
    borrower_.forget_declined();
}

void service_scheduler::impl::borrow() {
    const auto want = static_cast<unsigned>(
        std::min<std::size_t>(queue_.size(), policy_.ask_limit));
    const duration urgency =
        want == 0 ? duration::zero() : queue_.most_urgent() - now_;
    borrower_.update(want, urgency, now_, *actions_);
}

void service_scheduler::impl::on(const peer_reachability& event) {
    if (event.reachable) {
        linked_.insert(event.peer);
    } else {
        linked_.erase(event.peer);
    }
    silent_.erase(event.peer);
    apply_reachability();
}

void service_scheduler::impl::hear(const std::string& peer) {
    borrower_.heard(peer);
    if (silent_.erase(peer) != 0) {
        apply_reachability();
    }
}

void service_scheduler::impl::apply_reachability() {
    std::unordered_set<std::string> reachable = linked_;
    for (const std::string& peer : silent_) {
        reachable.erase(peer);
    }
    borrower_.set_lenders(view_.owners.owners, self_.name, reachable);
    const service* of =
        view_.config ? find_service(*view_.config, service_) : nullptr;
    static const service no_service;
    table_.apply(of != nullptr ? *of : no_service, view_, reachable);
}

// An owner that is stopped or cut off keeps its link for a while. Requests
// that wait for its slots would be lost meanwhile, so after a short silence
// it counts as out of reach and a share of its slots is used instead.
void service_scheduler::impl::watch_silence() {
    while (const auto peer = borrower_.silent(now_)) {
        silent_.insert(*peer);
        apply_reachability();
    }
}

} // namespace waxwingvale::decision
