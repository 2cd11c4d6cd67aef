#include <algorithm>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

// How requests arrive, wait, start and end.
namespace waxwingvale::decision {

namespace {

// Requests looked at, beyond the first, for one that a free slot suits, when
// those before it exclude the servers with free slots.
constexpr std::size_t parked_limit = 8;

} // namespace

void service_scheduler::impl::on(const request_arrived& event) {
    if (queue_.contains(event.request) || running_.count(event.request) != 0) {
        return; // it is still the former attempt's turn
    }
    if (event.deadline <= now_) {
        actions_->emplace_back(expire_request{event.request});
        return;
    }
    if (refuse_at_once(event)) {
        return;
    }
    if (queue_.empty()) {
        if (const auto place = table_.choose(wish_of(event, now_), now_)) {
            start(event, *place, {}, 0);
            return;
        }
    }
    if (event.only_if_spare) {
        refuse(event.request, refusal_reason::no_spare_slot);
        return;
    }
    enqueue(event);
}

bool service_scheduler::impl::runs_stale(const request_arrived& request) const {
    return !view_.fresh && request.nature == request_nature::at_most_once;
}

bool service_scheduler::impl::refuse_at_once(const request_arrived& request) {
    if (runs_stale(request)) {
        refuse(request.request, refusal_reason::stale_view);
        return true;
    }
    if (!table_.any_left(request.excluded)) {
        refuse(request.request, refusal_reason::no_backend_server);
        return true;
    }
    if (request.isolated && !table_.owns_any()) {
        // Only an owner knows what else runs on a backend server.
        refuse(request.request, refusal_reason::no_spare_slot);
        return true;
    }
    return false;
}

void service_scheduler::impl::enqueue(const request_arrived& request) {
    const std::size_t limit = admission_.queue_limit(request.request_class);
    if (limit != 0 && queue_.class_size(request.request_class) >= limit) {
        refuse(request.request, refusal_reason::queue_full);
        return;
    }
    const time_point latest_start = admission_.latest_start(request, now_);
    if (now_ + expected_wait(request, latest_start) > latest_start) {
        refuse(request.request, refusal_reason::too_late);
        return;
    }
    queue_.push({request, now_, latest_start});
}

duration service_scheduler::impl::backlog() const {
    const unsigned slots = table_.working_slots();
    if (slots == 0 || queue_.empty()) {
        return duration::zero(); // without slots it depends on others
    }
    return admission_.time_to_serve(static_cast<double>(queue_.size()), slots);
}

// An instance without slots can't tell how long owners will take: they say so
// when asked.
duration service_scheduler::impl::expected_wait(const request_arrived& request,
                                                time_point latest_start) const {
    const unsigned slots = table_.working_slots();
    if (slots == 0) {
        return duration::zero();
    }
    const double ahead = queue_.ahead_of(request.tenant, latest_start) + 1.0;
    return admission_.time_to_serve(ahead, slots);
}

slot_wish service_scheduler::impl::wish_of(const request_arrived& request,
                                           time_point arrived_at) const {
    slot_wish wish;
    wish.excluded = &request.excluded;
    wish.isolated = request.isolated;
    wish.may_sample = request.nature == request_nature::retriable;
    wish.patient =
        borrower_.has_lenders() && now_ - arrived_at < policy_.failing_patience;
    wish.typical = admission_.typical(request.request_class);
    wish.backlog = backlog();
    return wish;
}

void service_scheduler::impl::start(const request_arrived& request,
                                    slot_table::index place,
                                    const std::string& from_peer,
                                    grant_id grant) {
    const std::string& server = table_.at(place).name();
    table_.start(place, now_, request.isolated);
    running_[request.request] = {request.request_class, server, now_, from_peer,
                                 grant};
    actions_->emplace_back(
        start_request{request.request, server, from_peer, grant});
}

void service_scheduler::impl::refuse(request_id request,
                                     refusal_reason reason) {
    const duration come_back_in =
        admission_.next_appointment(backlog(), table_.working_slots(), now_);
    actions_->emplace_back(refuse_request{request, reason, come_back_in});
}

void service_scheduler::impl::drop_overdue() {
    while (const auto overdue = queue_.pop_overdue(now_)) {
        const request_id request = overdue->arrival.request;
        if (overdue->arrival.deadline <= now_) {
            actions_->emplace_back(expire_request{request});
        } else {
            refuse(request, refusal_reason::too_late);
        }
    }
}

void service_scheduler::impl::dispatch() {
    std::vector<queued_request> parked;
    while (!queue_.empty() && dispatch_one(parked)) {
    }
    for (queued_request& entry : parked) {
        queue_.restore(std::move(entry));
    }
}

// False when no further request can get a slot.
bool service_scheduler::impl::dispatch_one(
    std::vector<queued_request>& parked) {
    slot_wish anything;
    anything.may_sample = true;
    anything.typical = admission_.typical({});
    anything.backlog = backlog();
    if (!table_.choose(anything, now_)) {
        return false;
    }
    queued_request entry = queue_.pop();
    if (runs_stale(entry.arrival)) {
        refuse(entry.arrival.request, refusal_reason::stale_view);
        return true;
    }
    if (const auto place =
            table_.choose(wish_of(entry.arrival, entry.arrived_at), now_)) {
        start(entry.arrival, *place, {}, 0);
        return true;
    }
    parked.push_back(std::move(entry));
    return parked.size() <= parked_limit;
}

void service_scheduler::impl::on(const request_cancelled& event) {
    queue_.remove(event.request);
}

void service_scheduler::impl::on(const request_finished& event) {
    const auto found = running_.find(event.request);
    if (found == running_.end()) {
        return;
    }
    const running_request ended = std::move(found->second);
    running_.erase(found);
    const duration time = event.service_time > duration::zero()
                              ? event.service_time
                              : now_ - ended.started_at;
    learn(ended.backend_server, ended.request_class, event.verdict, time,
          ended.started_at);
    if (!ended.from_peer.empty()) {
        actions_->emplace_back(return_grant{ended.from_peer, ended.grant, false,
                                            event.verdict, ended.request_class,
                                            time});
    }
}

void service_scheduler::impl::learn(const std::string& backend_server,
                                    const std::string& request_class,
                                    attempt_verdict verdict,
                                    duration service_time,
                                    time_point started_at) {
    const auto place = table_.find(backend_server);
    if (!place) {
        return;
    }
    const double relative =
        admission_.relative_log(request_class, service_time);
    table_.finish(*place, started_at, verdict, relative, now_);
    // What passed-over servers take must not become the usual time.
    const bool straggler = table_.at(*place).health().straggler();
    if (verdict == attempt_verdict::answered && !straggler) {
        admission_.add_service_time(request_class, service_time);
    }
}

} // namespace waxwingvale::decision
