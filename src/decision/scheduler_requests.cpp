#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

// Arrival, queueing, start and cancellation of requests.
namespace waxwingvale::decision {

void service_scheduler::impl::on(const request_arrived& event) {
    const request_origin origin{{}, event.request};
    if (is_queued(origin) || awaits_view(event.request) ||
        running_.count(event.request) != 0) {
        return; // its previous attempt is still queued or running
    }
    if (event.deadline <= now_) {
        actions_->emplace_back(expire_request{event.request});
        return;
    }
    if (refuse_if_impossible(event)) {
        return;
    }
    if (blocked_by_stale_view(event)) {
        await_fresh_view(event);
        return;
    }
    queued_request entry;
    entry.arrival = event;
    if (event.target) {
        entry.arrival.target = std::min(
            *event.target - policy_.caller_network_time, event.deadline);
    }
    entry.arrived_at = now_;
    admit(std::move(entry));
}

bool service_scheduler::impl::refuse_if_impossible(
    const request_arrived& request) {
    if (service_removed_ || !table_.any_eligible(request, false)) {
        refuse(request.request, refusal_reason::no_backend_server);
        return true;
    }
    const bool no_owner = !table_.owns_any() && !borrower_.has_lenders();
    if (request.isolated && no_owner) {
        // Only an owner knows whether anything else runs on a backend server.
        refuse(request.request, refusal_reason::no_spare_slot);
        return true;
    }
    return false;
}

// Admits a request that arrived on this instance or that a peer named for the
// first time.
void service_scheduler::impl::admit(queued_request entry) {
    switch (pay(entry)) {
    case payment::done:
        place(std::move(entry));
        break;
    case payment::awaited:
        await_payment(std::move(entry));
        break;
    case payment::impossible:
        decline_unpaid(entry);
        break;
    }
}

// Starts a request that is paid for, or has it wait for a slot.
void service_scheduler::impl::place(queued_request entry) {
    const request_arrived& request = entry.arrival;
    if (request.target) {
        offered_load_.add(request.priority,
                          admission_.mean_time(request.request_class), now_);
    }
    if (try_assign_slot(entry)) {
        return;
    }
    const bool may_borrow = !has_usable_slots() && borrower_.has_lenders();
    if (request.only_if_spare && !may_borrow) {
        decline(entry, refusal_reason::no_spare_slot);
        return;
    }
    enqueue(std::move(entry));
}

// Starts a new request at once if nothing is queued. Otherwise it must queue as
// well: the queued requests wait for better slots than the free ones, and
// tolerate worse slots the longer they wait. When new requests could take the
// free slots at once, none were left for the queued ones, and the value of all
// answers was 0.886 instead of 0.936 (waxwing-replay, mixed-shared-large,
// rush).
bool service_scheduler::impl::try_assign_slot(const queued_request& entry) {
    if (!queue_.empty()) {
        return false;
    }
    const auto at = table_.choose(requirements_of(entry), now_);
    if (at) {
        assign_slot(entry, *at);
    }
    return at.has_value();
}

void service_scheduler::impl::enqueue(queued_request entry) {
    const request_arrived& request = entry.arrival;
    const std::size_t limit = admission_.queue_limit(request.request_class);
    if (limit != 0 && entry.peer.empty() &&
        queue_.class_size(request.request_class) >= limit) {
        decline(entry, refusal_reason::queue_full);
        return;
    }
    if (!has_usable_slots()) {
        // The waiting time is unknown here: owners estimate it when asked.
        entry.latest_start = admission_.latest_start(request, now_);
        if (entry.latest_start < now_) {
            decline(entry, refusal_reason::too_late);
            return;
        }
        if (entry.peer.empty()) {
            borrower_.add(request.request);
        }
        queue_.push(std::move(entry));
        return;
    }
    const bool has_target = request.target.has_value();
    entry.latest_start = has_target ? latest_start_within_target(request)
                                    : admission_.latest_start(request, now_);
    const double slots = slots_for(request);
    const double ahead = queue_.requests_ahead_of(request, entry.latest_start);
    // With no working slot the waiting time is unknown and counts as zero:
    // other owners may lend slots, or the servers may recover.
    const duration wait = slots > 0
                              ? admission_.time_to_serve(ahead + 1.0, slots)
                              : duration::zero();
    const bool too_late = now_ + wait > entry.latest_start;
    if (too_late && has_target) {
        enqueue_late(std::move(entry));
        return;
    }
    if (too_late) {
        decline(entry, refusal_reason::too_late);
        return;
    }
    if (entry.peer.empty()) {
        borrower_.add(request.request);
    }
    queue_.push(std::move(entry));
}

// Queues a request that can no longer meet its target, or refuses it at once. A
// request that can meet its target gains more value from the same work, so that
// late requests get only the slots that are left.
void service_scheduler::impl::enqueue_late(queued_request entry) {
    entry.latest_start = admission_.latest_start(entry.arrival, now_);
    const double ahead =
        static_cast<double>(queue_.size()) +
        late_queue_.requests_ahead_of(entry.arrival, entry.latest_start);
    const duration wait = admission_.time_to_serve(ahead + 1.0, spare_slots());
    if (now_ + wait > entry.latest_start) {
        decline(entry, refusal_reason::too_late);
        return;
    }
    if (entry.peer.empty()) {
        borrower_.add(entry.arrival.request);
    }
    late_queue_.push(std::move(entry));
}

duration service_scheduler::impl::backlog() const {
    const double slots = table_.weighted_slots();
    if (slots <= 0 || queue_.empty()) {
        return duration::zero(); // without slots, other owners determine it
    }
    return admission_.time_to_serve(static_cast<double>(queue_.size()), slots);
}

// Slots that the requests in time do not need.
double service_scheduler::impl::spare_slots() const {
    const double all = table_.normalized_slots(now_);
    return std::max(all - offered_load_.slots_needed(now_),
                    policy_.min_spare_share * all);
}

// Slots available to a queued request: those that requests of higher priority
// do not need.
double
service_scheduler::impl::slots_for(const request_arrived& request) const {
    if (!request.target) {
        return table_.weighted_slots();
    }
    const double all = table_.prompt_slots(now_);
    const double left =
        all - offered_load_.slots_needed_above(request.priority, now_);
    return std::max(left, all / policy_.urgency_only_interval);
}

duration service_scheduler::impl::next_retry_delay() {
    if (!has_usable_slots() && borrower_.has_lenders()) {
        // The request had too little time left to borrow a slot. The backlog of
        // the owners is unknown here. When it was computed from zero slots,
        // callers were told to come back after half a minute.
        return admission_.typical_time({});
    }
    const bool by_target = offered_load_.arrivals_per_second(now_) > 0;
    const double slots = by_target ? spare_slots() : table_.weighted_slots();
    return admission_.next_retry_delay(backlog(), slots, now_);
}

time_point service_scheduler::impl::latest_start_within_target(
    const request_arrived& request) const {
    return admission_.latest_start_within_target(
        request.request_class, *request.target,
        table_.saturated_log_slowdown());
}

std::optional<work_forecast>
service_scheduler::impl::forecast_of(const queued_request& entry) const {
    const request_arrived& request = entry.arrival;
    if (!request.target) {
        return std::nullopt;
    }
    const bool in_time = now_ <= latest_start_within_target(request);
    const time_point until = in_time ? *request.target : request.deadline;
    return admission_.forecast(request.request_class, until - now_);
}

double
service_scheduler::impl::tolerated_loss(const queued_request& entry) const {
    const auto waited = static_cast<double>((now_ - entry.arrived_at).count());
    const auto allowed =
        static_cast<double>((entry.latest_start - entry.arrived_at).count());
    const double used = allowed > 0 ? std::min(waited / allowed, 1.0) : 0.0;
    return policy_.tolerated_loss + used * policy_.tolerated_loss_increase;
}

slot_requirements
service_scheduler::impl::requirements_of(const queued_request& entry) const {
    const request_arrived& request = entry.arrival;
    const bool arrived_here = entry.peer.empty();
    slot_requirements requirements;
    requirements.request = &request;
    requirements.isolated = request.isolated;
    requirements.may_sample = request.nature == request_nature::retriable;
    const bool just_arrived =
        now_ - entry.arrived_at < policy_.failing_server_max_wait;
    const bool of_owner = !arrived_here && find_owner(view_.owners, entry.peer);
    requirements.may_borrow =
        of_owner || (borrower_.has_lenders() && just_arrived);
    requirements.typical_time = admission_.typical_time(request.request_class);
    requirements.backlog = backlog();
    requirements.for_peer = !arrived_here;
    requirements.data_centre =
        data_centre_of(arrived_here ? self_.name : entry.peer);
    requirements.crossing_loss =
        admission_.crossing_loss(request.request_class);
    requirements.forecast = forecast_of(entry);
    requirements.tolerated_loss = tolerated_loss(entry);
    return requirements;
}

void service_scheduler::impl::assign_slot(const queued_request& entry,
                                          slot_table::index at) {
    if (entry.peer.empty()) {
        start(entry, at);
    } else {
        grant(entry, at);
    }
}

// Time by which nineteen of twenty answers arrive, at the known pace of the
// server. If an answer takes longer, the server has probably become slower
// since its last report.
duration service_scheduler::impl::slow_after(const queued_request& entry,
                                             slot_table::index at) const {
    constexpr double deviations = 1.645; // the 95% quantile
    const auto forecast = forecast_of(entry);
    if (!forecast) {
        return duration::zero();
    }
    const double log_time = forecast->typical_log +
                            deviations * forecast->log_spread +
                            table_.expected_log_slowdown(at);
    return duration(static_cast<duration::rep>(std::exp(log_time)));
}

void service_scheduler::impl::start(const queued_request& entry,
                                    slot_table::index at) {
    const request_arrived& request = entry.arrival;
    const std::string& server = table_.at(at).name();
    const duration slow = slow_after(entry, at);
    note_sent(entry);
    running_request started;
    started.request_class = request.request_class;
    started.backend_server = server;
    started.attempt = table_.start(at, now_, request.isolated);
    started.started_at = now_;
    started.incarnation = table_.at(at).incarnation();
    running_[request.request] = std::move(started);
    borrower_.remove(request.request);
    actions_->emplace_back(start_request{request.request, server, {}, 0, slow});
}

void service_scheduler::impl::decline(const queued_request& entry,
                                      refusal_reason reason) {
    ++refused_;
    if (entry.peer.empty()) {
        refuse(entry.arrival.request, reason);
        if (reason == refusal_reason::too_late) {
            std::get<refuse_request>(actions_->back()).expected_time =
                admission_.high_time(entry.arrival.request_class);
        }
        return;
    }
    replies_[entry.peer].declined.push_back(
        {entry.arrival.request, next_retry_delay()});
}

// When the last server leaves, nothing that is queued can be served, and when
// all of them rest, only what can wait until one of them no longer does.
void service_scheduler::impl::decline_unserveable() {
    if (queued() == 0 || table_.any_open(now_)) {
        return;
    }
    for (request_queue* queue : {&queue_, &late_queue_}) {
        std::vector<queued_request> kept;
        while (!queue->empty()) {
            queued_request entry = queue->pop();
            const bool of_peer = !entry.peer.empty();
            if (table_.any_eligible(entry.arrival, of_peer)) {
                kept.push_back(std::move(entry));
            } else {
                decline(entry, refusal_reason::no_backend_server);
            }
        }
        for (queued_request& entry : kept) {
            queue->restore(std::move(entry));
        }
    }
}

// Refuses all queued requests.
void service_scheduler::impl::decline_all() {
    for (request_queue* queue : {&queue_, &late_queue_}) {
        while (!queue->empty()) {
            decline(queue->pop(), refusal_reason::no_backend_server);
        }
    }
    decline_all_unpaid();
    decline_all_awaiting_view();
    while (!other_owners_queue_.empty()) {
        other_owners_queue_.pop(); // refused by the owner that received it
    }
}

void service_scheduler::impl::refuse(request_id request,
                                     refusal_reason reason) {
    borrower_.remove(request);
    actions_->emplace_back(
        refuse_request{request, reason, next_retry_delay(), {}, {}});
}

void service_scheduler::impl::on(const request_cancelled& event) {
    const request_origin origin{{}, event.request};
    queue_.remove(origin);
    late_queue_.remove(origin);
    borrower_.remove(event.request);
    cancel_unpaid(event.request);
    cancel_awaiting_view(event.request);
}

} // namespace waxwingvale::decision
