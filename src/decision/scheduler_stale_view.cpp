#include <algorithm>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

// Requests that must not run twice, while the view is stale. After a late
// wake-up it is fresh again as soon as a peer has answered.
namespace waxwingvale::decision {

bool service_scheduler::impl::blocked_by_stale_view(
    const request_arrived& request) const {
    return !view_.fresh && request.nature == request_nature::at_most_once;
}

void service_scheduler::impl::await_fresh_view(request_arrived request) {
    const time_point until =
        std::min(now_ + policy_.stale_view_wait, request.deadline);
    awaiting_view_.push_back({std::move(request), until});
}

// Admits what waits once the view is fresh, and refuses what has waited in
// vain.
void service_scheduler::impl::settle_awaiting_view() {
    for (awaiting_request& each : std::exchange(awaiting_view_, {})) {
        if (each.request.deadline <= now_) {
            actions_->emplace_back(expire_request{each.request.request});
        } else if (view_.fresh) {
            on(each.request);
        } else if (each.until <= now_) {
            ++refused_;
            refuse(each.request.request, refusal_reason::stale_view);
        } else {
            awaiting_view_.push_back(std::move(each));
        }
    }
}

bool service_scheduler::impl::awaits_view(request_id request) const {
    return std::any_of(awaiting_view_.begin(), awaiting_view_.end(),
                       [request](const awaiting_request& each) {
                           return each.request.request == request;
                       });
}

void service_scheduler::impl::cancel_awaiting_view(request_id request) {
    const auto is_cancelled = [request](const awaiting_request& each) {
        return each.request.request == request;
    };
    awaiting_view_.erase(std::remove_if(awaiting_view_.begin(),
                                        awaiting_view_.end(), is_cancelled),
                         awaiting_view_.end());
}

void service_scheduler::impl::decline_all_awaiting_view() {
    for (const awaiting_request& each : std::exchange(awaiting_view_, {})) {
        refuse(each.request.request, refusal_reason::no_backend_server);
    }
}

// The time for which the process did not run is no part of the wait.
void service_scheduler::impl::prolong_awaiting_view(duration late_by) {
    for (awaiting_request& each : awaiting_view_) {
        each.until = std::min(each.until + late_by, each.request.deadline);
    }
}

std::optional<time_point>
service_scheduler::impl::next_end_of_awaiting_view() const {
    std::optional<time_point> next;
    for (const awaiting_request& each : awaiting_view_) {
        next = next ? std::min(*next, each.until) : each.until;
    }
    return next;
}

} // namespace waxwingvale::decision
