#include <utility>

#include "decision/service_scheduler_impl.hpp"

// How requests that wait get the slots there are, or are given up.
namespace waxwingvale::decision {

namespace {

// Requests looked at, beyond the first, for one that a free slot suits, when
// those before it exclude the servers with free slots.
constexpr std::size_t parked_limit = 8;

} // namespace

void service_scheduler::impl::drop_overdue() {
    while (const auto overdue = queue_.pop_overdue(now_)) {
        const request_arrived& request = overdue->arrival;
        if (request.deadline <= now_ && overdue->peer.empty()) {
            borrower_.remove(request.request);
            actions_->emplace_back(expire_request{request.request});
        } else if (request.target && decides() && request.deadline > now_) {
            enqueue_late(*overdue);
        } else {
            turn_down(*overdue, refusal_reason::too_late);
        }
    }
    drop_overdue_late();
    while (of_owners_.pop_overdue(now_)) {
        // Its own instance has refused it by now.
    }
}

void service_scheduler::impl::drop_overdue_late() {
    while (const auto overdue = late_.pop_overdue(now_)) {
        const request_arrived& request = overdue->arrival;
        if (request.deadline <= now_ && overdue->peer.empty()) {
            borrower_.remove(request.request);
            actions_->emplace_back(expire_request{request.request});
        } else {
            turn_down(*overdue, refusal_reason::too_late);
        }
    }
}

// Each slot given stands idle for a round trip between the instances. Above
// capacity all owners have work waiting, and slots exchanged for little would
// cost goodput.
bool service_scheduler::impl::owners_are_more_urgent() const {
    return !of_owners_.empty() && !queue_.empty() &&
           of_owners_.most_urgent() + policy_.owner_urgency_margin <
               queue_.most_urgent();
}

// What waits looks at all servers only now and then: a slot that it did not
// want becomes no better until its server is heard of again, but for the time
// that passes. Looking at 268 servers for nine requests with every event, the
// owner of a service at three times its capacity needed 2 s of a processor for
// each second, lagged, and sent requests on after their callers had left; this
// way 0.2 s (waxwing-replay, mixed-shared-large, surge-3x).
void service_scheduler::impl::dispatch() {
    slot_choice slots = table_.take_changed();
    if (now_ >= whole_look_at_) {
        slots.reset();
    }
    if (!slots) {
        whole_look_at_ = now_ + policy_.recheck;
    }
    if (owners_are_more_urgent()) {
        dispatch_from(of_owners_, slots);
    }
    dispatch_from(queue_, slots);
    dispatch_from(of_owners_, slots);
    dispatch_from(late_, slots);
}

void service_scheduler::impl::dispatch_from(request_queue& queue,
                                            const slot_choice& slots) {
    std::vector<queued_request> parked;
    while (!queue.empty() && dispatch_one(queue, slots, parked)) {
    }
    for (queued_request& entry : parked) {
        queue.restore(std::move(entry));
    }
}

// False when no further request can get a slot.
bool service_scheduler::impl::dispatch_one(
    request_queue& queue, const slot_choice& slots,
    std::vector<queued_request>& parked) {
    if (!table_.any_room(slots, now_)) {
        return false;
    }
    queued_request entry = queue.pop();
    if (forgotten(entry)) {
        return true;
    }
    if (entry.peer.empty() && runs_stale(entry.arrival)) {
        refuse(entry.arrival.request, refusal_reason::stale_view);
        return true;
    }
    const slot_wish wish = wish_of(entry);
    const auto at =
        slots ? table_.choose(wish, now_, *slots) : table_.choose(wish, now_);
    if (at) {
        place(entry, *at);
        return true;
    }
    parked.push_back(std::move(entry));
    return parked.size() <= parked_limit;
}

} // namespace waxwingvale::decision
