// The part of call_desk that has requests served by other instances while this
// one is partitioned from the backend servers, and serves theirs.

#include <algorithm>
#include <utility>
#include <vector>

#include <waxwingvale/entry/lost_attempt.hpp>

#include "entry/call_desk.hpp"
#include "entry/call_facts.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// The way to the other instance and back, by which it must be done earlier.
constexpr duration detour_margin = 10ms;

// By then a peer may be linked that can serve the request.
constexpr duration retry_after_first_check = 250ms;

own_answer none_reached() {
    own_answer answer;
    answer.reason = "no-server-and-no-peer";
    answer.retry_after = retry_after_first_check;
    return answer;
}

own_answer nobody_serves() {
    own_answer answer;
    answer.reason = "no-instance-in-touch";
    answer.retry_after = retry_after_default;
    return answer;
}

} // namespace

void call_desk::take_detoured(forwarding::caller_exchange_ptr caller) {
    auto request = caller->take_request();
    const auto detoured = take_detour_header(request.headers, detours_.token());
    caller->put_back(std::move(request));
    if (!detoured) {
        own_answer stranger;
        stranger.status = status::forbidden;
        stranger.reason = "not-a-peer";
        caller->answer(protocol_.render(stranger));
        return;
    }
    if (reach_.partitioned()) {
        answer_unnamed(caller, nobody_serves(), true);
        return;
    }
    take_or_hold({std::move(caller), detoured.value(), timers_.now()});
}

void call_desk::mark_for_peer(const call_record& call, run_outcome outcome,
                              io::http_response& answer) const {
    if (call.detoured_for.empty()) {
        return;
    }
    const bool serves_none =
        reach_.partitioned() || reach_.refuses() || ends_by_;
    const bool not_taken = outcome == run_outcome::not_run && serves_none;
    add_outcome_header(answer.headers, not_taken ? detour_outcome::not_taken
                                                 : to_detour_outcome(outcome));
}

// No server has answered this instance yet, and no other can serve the call.
void call_desk::refuse_unreached(call_record& call) {
    note(call, "call_reaches_nobody");
    finish(call.id, none_reached());
}

// Queues the call's attempt once it is known whether servers can be reached.
void call_desk::wait_for_check(call_record& call) {
    call.waits_for_check = true;
    note(call, "call_waits_for_check");
    reach_.when_settled([this, id = call.id](decision::failure_meaning) {
        auto* waiting = find(id);
        if (waiting != nullptr && waiting->waits_for_check) {
            waiting->waits_for_check = false;
            queue_attempt(*waiting);
        }
    });
}

// Has another instance serve the call, or refuses it at once. A request of a
// partitioned peer goes to none: requests could go round for ever.
void call_desk::serve_by_detour(call_record& call) {
    if (!has_whole_body(call)) {
        refuse_partial_body(call);
        return;
    }
    const auto by = call.detoured_for.empty()
                        ? detours_.choose(call.detours_tried)
                        : std::nullopt;
    if (by) {
        send_to(*by, call);
    } else {
        finish(call.id, nobody_serves());
    }
}

void call_desk::send_to(const member& by, call_record& call) {
    detour_request with;
    with.from = self_.name;
    with.attempts_before = call.attempts_here + (call.hedged ? 1 : 0);
    with.may_have_run = call.earlier != run_outcome::not_run;
    with.time_left =
        std::max<duration>(call.deadline - timers_.now() - detour_margin, 1ms);
    ++call.attempts_here;
    if (call.attempts_here == 1) {
        part_of(call.labels.service).policies.retries().on_first_attempt();
    }
    const auto sent = detours_.send(
        by, detour_call(call), with,
        [this, id = call.id](forwarding::backend_result ended) {
            take_detour_end(id, std::move(ended));
        },
        detour_handlers(call.id));
    call.detour = running_detour{by.id.name, sent, timers_.now()};
    metrics_.detours_sent.add();
    note(call, "call_detoured",
         fact("instance", by.id.name) + " " +
             fact("attempts_before", with.attempts_before));
}

// The request as its caller sent it.
forwarding::backend_call call_desk::detour_call(const call_record& call) const {
    forwarding::backend_call made;
    made.method = call.content.method;
    made.target = call.content.target;
    made.headers = call.content.headers;
    if (!call.content.host.empty()) {
        made.headers.insert(made.headers.begin(), {"Host", call.content.host});
    }
    made.body = call.content.body;
    if (call.content.more_body) {
        made.more_body = call.content.more_body->open();
    }
    made.body_length = call.content.body_length;
    made.kept_for = kept_for(call);
    made.still_wanted = [this, id = call.id] {
        const auto open = calls_.find(id);
        return open != calls_.end() && interest_.may_send(open->second);
    };
    return made;
}

// Has another instance make the attempt that reached no server from here.
void call_desk::replace_by_detour(call_record& call) {
    --call.attempts_here;
    serve_by_detour(call);
}

void call_desk::take_detour_end(decision::request_id id,
                                forwarding::backend_result ended) {
    auto* call = find(id);
    if (call == nullptr || !call->detour) {
        return;
    }
    const auto by = *call->detour;
    call->detour.reset();
    note(*call, "call_detour_ended",
         fact("instance", by.instance) + " " +
             fact("took_ms", timers_.now() - by.started) + " " +
             fact("answered", ended.response ? "yes" : "no"));
    if (call->answering) {
        backend_answer last;
        last.outcome = ended.response ? run_outcome::ran : run_outcome::unknown;
        end_relay(*call, last);
    } else if (ended.response) {
        end_detour_with(*call, by, std::move(ended.response.value()));
    } else {
        end_lost_detour(*call, by, ended);
    }
}

void call_desk::end_detour_with(call_record& call, const running_detour& by,
                                io::http_response answer) {
    const auto outcome = take_outcome_header(answer.headers);
    if (outcome == detour_outcome::not_taken) {
        detours_.avoid(by.instance);
        call.detours_tried.insert(by.instance);
        try_other_detour(call);
        return;
    }
    if (!outcome) {
        // No answer of an instance of ours.
        own_answer lost = lost_answer(backend_answer{});
        finish(call.id, lost);
        return;
    }
    const bool proven = outcome == detour_outcome::not_run &&
                        call.earlier == run_outcome::not_run;
    if (protocol_.promises_not_run(answer) && !proven) {
        backend_answer refused;
        refused.end = attempt_end::refused_unproven;
        finish(call.id, lost_answer(refused));
        return;
    }
    answer.headers = io::end_to_end_headers(answer.headers);
    finish(call.id, to_run_outcome(*outcome), std::move(answer));
}

void call_desk::end_lost_detour(call_record& call, const running_detour& by,
                                const forwarding::backend_result& ended) {
    if (ended.response.error().code == error_code::cancelled) {
        drop(call);
        return;
    }
    call.detours_tried.insert(by.instance);
    const auto code = ended.response.error().code;
    if (code != error_code::resource_exhausted) {
        detours_.avoid(by.instance);
    }
    if (!ended.sent) {
        try_other_detour(call);
        return;
    }
    backend_answer lost;
    lost.end = attempt_end::broken;
    lost.outcome = run_outcome::unknown;
    if (!try_again(call, {}, lost)) {
        finish(call.id, lost_answer(lost));
    }
}

// The last instance did not take the request, so that it has not run there.
void call_desk::try_other_detour(call_record& call) {
    --call.attempts_here;
    if (!interest_.may_send(call)) {
        drop(call);
        return;
    }
    queue_attempt(call);
}

forwarding::long_answer_handlers
call_desk::detour_handlers(decision::request_id id) {
    forwarding::long_answer_handlers handlers;
    // What makes a promise is waited for whole: only then it can be held back.
    handlers.may_be_answer = [this](const io::http_response& head) {
        auto headers = head.headers;
        return take_outcome_header(headers).has_value() &&
               !protocol_.promises_not_run(head);
    };
    handlers.on_begin = [this, id](const io::http_response& head,
                                   std::optional<std::uint64_t> length) {
        begin_detour_answer(id, head, length);
        return true;
    };
    handlers.on_bytes = [this, id](const std::string& bytes) {
        relay(id, bytes);
    };
    return handlers;
}

void call_desk::begin_detour_answer(decision::request_id id,
                                    io::http_response head,
                                    std::optional<std::uint64_t> length) {
    auto* call = find(id);
    if (call == nullptr || !call->detour) {
        return;
    }
    take_outcome_header(head.headers);
    head.headers = io::end_to_end_headers(head.headers);
    call->answering = true;
    call->caller->on_drained(
        [this, on = call->detour->call] { detours_.resume(on); });
    call->caller->begin_answer(std::move(head), length);
}

void call_desk::cancel_detour(call_record& call) {
    call.waits_for_check = false;
    if (call.detour) {
        detours_.cancel(call.detour->instance, call.detour->call);
        call.detour.reset();
    }
}

void call_desk::follow_reach(bool partitioned) {
    if (!partitioned) {
        return;
    }
    forget_connections();
    crashes_.on_partitioned(reach_.last_reached());
    std::vector<decision::request_id> open;
    for (const auto& entry : calls_) {
        open.push_back(entry.first);
    }
    for (const auto id : open) {
        if (auto* call = find(id)) {
            leave_servers(*call);
        }
    }
}

// Connections that are open now may stay silent when the partition ends.
void call_desk::forget_connections() {
    for (const auto& of : view_->config->services) {
        for (const auto& server : of.backend_servers) {
            pool_.forget(server.name);
        }
    }
}

// Takes a call from servers that cannot be reached to an instance that reaches
// them. What was sent and must not run twice stays: its answer may still come.
// So does, for a time, what may run again: its server may be at work, and the
// partition an error of a busy deployment. One that stops takes nothing back.
void call_desk::leave_servers(call_record& call) {
    const bool waits_for_key = call.key && call.key->attempt == 0;
    if (call.is_elsewhere() || call.answering || waits_for_key) {
        return;
    }
    drop_waiting_hedge(call);
    if (!call.running && !call.hedge) {
        desk_of(call.labels.service)
            .handle(decision::request_cancelled{call.id});
        end_trial(call);
        replace_by_detour(call);
        return;
    }
    const auto may_run = [&](const std::optional<running_attempt>& attempt) {
        return attempt && pool_.sent(attempt->call);
    };
    const bool sent = may_run(call.running) || may_run(call.hedge);
    const bool may_be_repeated =
        call.may_run_again() && call.may_reach_another() && !ends_by_;
    const bool stays = sent && !may_be_repeated;
    if (stays || !call.running) {
        return;
    }
    const auto& latest = call.hedge ? *call.hedge : *call.running;
    const auto given_up = latest.started + silent_after(latest.slow_after);
    if (sent && timers_.now() < given_up) {
        leave_servers_at(call, given_up);
        return;
    }
    const auto attempt = *call.running;
    cancel_attempts(call);
    end_trial(call);
    if (!sent) {
        replace_by_detour(call);
        return;
    }
    backend_answer lost;
    lost.end = attempt_end::broken;
    lost.outcome = run_outcome::unknown;
    if (!try_again(call, attempt, lost)) {
        finish(call.id, lost_answer(lost));
    }
}

void call_desk::leave_servers_at(call_record& call, time_point when) {
    const auto check = [this, id = call.id](time_point) {
        auto* open = find(id);
        if (open != nullptr && reach_.partitioned()) {
            leave_servers(*open);
        }
    };
    call.leave_timer = timers_.after(when - timers_.now(), check);
}

} // namespace waxwingvale::entry
