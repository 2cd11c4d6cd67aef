// The part of call_desk that ends calls, whatever ends them.

#include <algorithm>
#include <utility>

#include "entry/call_desk.hpp"
#include "entry/call_facts.hpp"

namespace waxwingvale::entry {

namespace {

decision::answer_ptr keepable(const io::http_response& answer) {
    decision::whole_answer kept;
    kept.status = answer.status;
    for (const auto& header : answer.headers) {
        kept.headers.push_back({header.name, header.value});
    }
    kept.body = answer.body;
    return std::make_shared<const decision::whole_answer>(std::move(kept));
}

} // namespace

void call_desk::end_by(time_point latest) {
    ends_by_ = latest;
    for (auto& entry : calls_) {
        auto& call = entry.second;
        if (call.deadline > latest) {
            call.deadline = latest;
            arm_deadline(call);
        }
    }
}

void call_desk::arm_deadline(call_record& call) {
    const auto wait = std::max(call.deadline - timers_.now(), duration::zero());
    call.deadline_timer = timers_.after(
        wait, [this, id = call.id](time_point) { pass_deadline(id); });
}

// The caller, or the operator's limit for its class, waits no longer.
void call_desk::pass_deadline(decision::request_id id) {
    auto* call = find(id);
    if (call == nullptr) {
        return;
    }
    const bool waits_for_key = call->key && call->key->attempt == 0;
    if (waits_for_key) {
        keys_.on_waiter_gone(call->key->key, id);
    }
    const bool sent = may_run(*call);
    const bool stops = ends_with_stop(*call);
    note(*call, stops ? "call_ended_by_stop" : "call_deadline_passed");
    if (call->answering) {
        cut_answer(*call, stops ? forwarding::request_end::stopped
                                : forwarding::request_end::deadline_cut);
        return;
    }
    cancel_attempts(*call);
    auto late = too_late(*call);
    if (sent) {
        late.status = status::gateway_timeout;
        late.outcome = run_outcome::unknown;
    }
    finish(id, late);
}

bool call_desk::may_run(const call_record& call) const {
    // The meaning of an attempt that has ended may be open yet.
    const auto is_sent = [this](const std::optional<running_attempt>& attempt) {
        return attempt && !pool_.unsent(attempt->call);
    };
    const bool waits_for_key = call.key && call.key->attempt == 0;
    return is_sent(call.running) || is_sent(call.hedge) || call.detour ||
           waits_for_key;
}

bool call_desk::refuse_if_unsent(decision::request_id id) {
    auto* call = find(id);
    if (call == nullptr || call->answering || may_run(*call)) {
        return false;
    }
    note(*call, "call_given_up_for_memory");
    cancel_attempts(*call);
    own_answer refusal;
    refusal.reason = "memory-short";
    refusal.retry_after = retry_after_default;
    finish(id, refusal);
    return true;
}

bool call_desk::ends_with_stop(const call_record& call) const {
    return ends_by_ && call.deadline >= *ends_by_;
}

// The answer to a call whose time ended before it was sent.
own_answer call_desk::too_late(const call_record& call) const {
    const bool stops = ends_with_stop(call);
    own_answer late;
    late.reason = stops ? "instance-stops" : "deadline-passed";
    late.retry_after = stops ? retry_after_start : retry_after_default;
    return late;
}

// Called when the caller's close has been read.
void call_desk::abandon(decision::request_id id) {
    auto* call = find(id);
    if (call == nullptr) {
        return;
    }
    if (interest_.must_end(*call)) {
        metrics_.abandoned.add(call->labels);
        note(*call, "call_caller_left", left_facts(*call));
        return;
    }
    drop(*call);
}

// Ends whatever is done for a caller that has left.
void call_desk::drop(call_record& call) {
    metrics_.abandoned.add(call.labels);
    note(call, "call_caller_left", left_facts(call));
    const bool waits_for_key = call.key && call.key->attempt == 0;
    if (waits_for_key) {
        keys_.on_waiter_gone(call.key->key, call.id);
    }
    const auto outcome = interest_.outcome_if_dropped(call);
    cancel_attempts(call);
    close_record(call, {outcome, false, timers_.now()}, nullptr);
}

void call_desk::refuse(const decision::refuse_request& action) {
    const auto hedge = hedges_.find(action.request);
    if (hedge != hedges_.end()) {
        if (auto* call = find(hedge->second)) {
            call->hedge_waiting = 0;
        }
        hedges_.erase(hedge);
        return;
    }
    if (auto* call = find(action.request)) {
        note(*call, "call_refused",
             refused_facts(action,
                           desk_of(call->labels.service).scheduler().queued()));
    }
    own_answer refusal;
    refusal.reason = to_string(action.reason);
    refusal.retry_after = action.retry_after;
    finish(action.request, refusal);
}

void call_desk::expire(const decision::expire_request& action) {
    own_answer expired;
    expired.reason = "deadline-passed";
    expired.retry_after = retry_after_default;
    finish(action.request, expired);
}

void call_desk::finish(decision::request_id id, const own_answer& answer) {
    auto stated = answer;
    const auto* call = find(id);
    if (call != nullptr && stated.outcome == run_outcome::not_run) {
        stated.outcome = call->earlier;
        if (stated.outcome != run_outcome::not_run &&
            stated.status == status::service_unavailable) {
            stated.status = status::bad_gateway;
        }
    }
    finish(id, stated.outcome, protocol_.render(stated));
}

void call_desk::finish(decision::request_id id, run_outcome outcome,
                       io::http_response answer) {
    auto* call = find(id);
    if (call == nullptr) {
        return;
    }
    const auto caller = call->caller;
    const bool kept = call->key && outcome == run_outcome::ran;
    note(*call, "call_answered", answered_facts(*call, outcome, answer.status));
    const auto to_keep = kept ? keepable(answer) : nullptr;
    mark_for_peer(*call, outcome, answer);
    close_record(*call, {outcome, true, timers_.now()}, to_keep);
    caller->answer(std::move(answer));
}

// The call has ended, however; `answer` is what its key is to keep.
void call_desk::close_record(call_record& ended, call_end end,
                             decision::answer_ptr answer) {
    const auto outcome = end.outcome;
    end_trial(ended);
    drop_waiting_hedge(ended);
    const auto call = std::move(ended);
    log_.close(call, end);
    calls_.erase(call.id);
    metrics_.open_calls.set(static_cast<double>(calls_.size()));
    metrics_.call_time.observe(call.labels, timers_.now() - call.arrived);
    if (end.answered && outcome == run_outcome::not_run) {
        metrics_.refused.add(call.labels);
    } else if (end.answered && outcome == run_outcome::unknown) {
        metrics_.unknown.add(call.labels);
    }
    const bool holds_key = call.key && call.key->attempt != 0;
    if (holds_key) {
        keys_.on_finished(call.key->key, call.key->attempt, outcome,
                          std::move(answer));
    }
}

} // namespace waxwingvale::entry
