#include <utility>

#include "decision/service_scheduler_impl.hpp"

// Assignment of free slots to queued requests, and removal of overdue requests.
namespace waxwingvale::decision {

namespace {

// How many requests that no free slot suits are skipped, in search of one that
// can use a free slot.
constexpr std::size_t max_skipped = 8;

} // namespace

// Requests became overdue while this process did not run, without having been
// offered a slot. Those of this instance that can still be answered in time are
// waiting again; for those of peers, the peers decide.
void service_scheduler::impl::revive_overdue() {
    for (request_queue* queue : {&queue_, &late_queue_}) {
        std::vector<queued_request> overdue;
        while (auto entry = queue->pop_overdue(now_)) {
            overdue.push_back(std::move(*entry));
        }
        for (queued_request& entry : overdue) {
            const time_point latest =
                admission_.latest_start(entry.arrival, now_);
            if (entry.peer.empty() && latest > now_) {
                entry.latest_start = latest;
            }
            queue->push(std::move(entry));
        }
    }
}

void service_scheduler::impl::drop_overdue() {
    while (const auto overdue = queue_.pop_overdue(now_)) {
        const request_arrived& request = overdue->arrival;
        if (request.deadline <= now_ && overdue->peer.empty()) {
            borrower_.remove(request.request);
            actions_->emplace_back(expire_request{request.request});
        } else if (request.target && has_usable_slots() &&
                   request.deadline > now_) {
            enqueue_late(*overdue);
        } else {
            decline(*overdue, refusal_reason::too_late);
        }
    }
    drop_overdue_late();
    while (other_owners_queue_.pop_overdue(now_)) {
        // The owner that received it has refused it by now.
    }
}

void service_scheduler::impl::drop_overdue_late() {
    while (const auto overdue = late_queue_.pop_overdue(now_)) {
        const request_arrived& request = overdue->arrival;
        if (request.deadline <= now_ && overdue->peer.empty()) {
            borrower_.remove(request.request);
            actions_->emplace_back(expire_request{request.request});
        } else {
            decline(*overdue, refusal_reason::too_late);
        }
    }
}

// Whether requests of other owners are more urgent by owner_urgency_margin than
// the requests queued here. A granted slot is idle for a round trip between the
// instances. Above capacity all owners have requests queued, and exchanging
// slots for a small difference would cost goodput.
bool service_scheduler::impl::other_owners_are_more_urgent() const {
    return !other_owners_queue_.empty() && !queue_.empty() &&
           other_owners_queue_.earliest_latest_start() +
                   policy_.owner_urgency_margin <
               queue_.earliest_latest_start();
}

// Queued requests consider all servers only from time to time, and otherwise
// those whose state has changed: apart from the passing of time, a slot that
// did not suit a request does not become better until its server reports again.
// When all 268 servers were considered for nine requests at every event, the
// owner of a service at three times its capacity needed 2 s of processor time
// per second instead of 0.2 s, fell behind, and forwarded requests whose
// callers had already left (waxwing-replay, mixed-shared-large, surge-3x).
void service_scheduler::impl::dispatch() {
    candidate_servers slots = table_.take_changed();
    if (now_ >= next_full_scan_at_) {
        slots.reset();
    }
    if (!slots) {
        next_full_scan_at_ = now_ + policy_.recheck_interval;
    }
    if (other_owners_are_more_urgent()) {
        dispatch_from(other_owners_queue_, slots);
    }
    dispatch_from(queue_, slots);
    dispatch_from(other_owners_queue_, slots);
    dispatch_from(late_queue_, slots);
}

void service_scheduler::impl::dispatch_from(request_queue& queue,
                                            const candidate_servers& slots) {
    std::vector<queued_request> skipped;
    while (!queue.empty() && dispatch_one(queue, slots, skipped)) {
    }
    for (queued_request& entry : skipped) {
        queue.restore(std::move(entry));
    }
}

// Takes one request from the queue and assigns a slot to it, or appends it to
// `skipped`. Returns whether to go on with the next request.
bool service_scheduler::impl::dispatch_one(
    request_queue& queue, const candidate_servers& slots,
    std::vector<queued_request>& skipped) {
    if (!table_.any_free(slots, now_)) {
        return false;
    }
    queued_request entry = queue.pop();
    if (confirmation_expired(entry)) {
        return true;
    }
    if (entry.peer.empty() && blocked_by_stale_view(entry.arrival)) {
        borrower_.remove(entry.arrival.request);
        await_fresh_view(std::move(entry.arrival));
        return true;
    }
    const slot_requirements requirements = requirements_of(entry);
    const auto at = slots ? table_.choose(requirements, now_, *slots)
                          : table_.choose(requirements, now_);
    if (at) {
        assign_slot(entry, *at);
        return true;
    }
    skipped.push_back(std::move(entry));
    return skipped.size() <= max_skipped;
}

} // namespace waxwingvale::decision
