// The part of call_desk that deals with attempts on backend servers.

#include <algorithm>
#include <utility>

#include <waxwingvale/entry/lost_attempt.hpp>

#include "entry/call_desk.hpp"
#include "entry/call_facts.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

decision::attempt_verdict verdict_of(attempt_end end) {
    switch (end) {
    case attempt_end::answered:
        return decision::attempt_verdict::answered;
    case attempt_end::failed:
        return decision::attempt_verdict::failed;
    case attempt_end::not_started:
    case attempt_end::misdirected:
        return decision::attempt_verdict::shed;
    case attempt_end::not_sent:
    case attempt_end::unreachable:
        return decision::attempt_verdict::connect_refused;
    case attempt_end::timed_out:
        return decision::attempt_verdict::timed_out;
    case attempt_end::held_back:
        return decision::attempt_verdict::cancelled;
    case attempt_end::broken:
        return decision::attempt_verdict::died;
    }
    return decision::attempt_verdict::died;
}

constexpr duration at_most_once_kept_for = 200ms;
constexpr duration retriable_kept_for = 10s;

// Tells operators which instance and backend server answered, and why.
std::string route_of(const std::string& self, const call_record& call,
                     const running_attempt& attempt) {
    const auto waited = attempt.started - call.arrived;
    return "instance=" + self + " backend_server=" + attempt.backend_server +
           " slot=" +
           (attempt.granted_by.empty() ? "own" : attempt.granted_by) +
           " attempts=" + std::to_string(call.attempts_here) +
           " waited_us=" + std::to_string(waited.count());
}

} // namespace

void call_desk::queue_attempt(call_record& call) {
    if (reach_.partitioned()) {
        serve_by_detour(call);
        return;
    }
    if (reach_.refuses()) {
        refuse_unreached(call);
        return;
    }
    if (reach_.holds()) {
        wait_for_check(call);
        return;
    }
    if (crashes_.watching() && !pass_crash_guard(call)) {
        return;
    }
    ++call.attempts_here;
    auto& part = part_of(call.labels.service);
    if (call.attempts_here == 1) {
        part.policies.retries().on_first_attempt();
        part.policies.hedges(call.labels.request_class).on_first_attempt();
    }
    auto arrived = slot_request(call);
    arrived.isolated = call.alone;
    note(call, "call_queued",
         fact("attempt", call.attempts_here) + " " +
             fact("ahead", part.desk->scheduler().queued()));
    part.desk->handle(arrived);
}

// The request for a slot for the call's next attempt.
decision::request_arrived
call_desk::slot_request(const call_record& call) const {
    decision::request_arrived arrived;
    arrived.request = call.id;
    arrived.tenant = call.labels.tenant;
    arrived.request_class = call.labels.request_class;
    arrived.nature = call.kind.nature;
    arrived.priority = call.kind.priority;
    arrived.deadline = call.deadline;
    arrived.target = call.target;
    arrived.attempt = call.attempts_here;
    arrived.excluded = call.excluded;
    arrived.data_centres =
        data_centres_of(call.kind.homes, view_->config->data_centres);
    return arrived;
}

void call_desk::start(const std::string& service,
                      const decision::start_request& action) {
    const auto hedge = hedges_.find(action.request);
    const auto id = hedge == hedges_.end() ? action.request : hedge->second;
    auto* call = find(id);
    if (call != nullptr && !interest_.may_send(*call)) {
        drop(*call);
        return_slot(service, action.request);
        return;
    }
    if (call != nullptr && call->deadline <= timers_.now()) {
        return_slot_later(service, action.request);
        if (id == action.request) {
            note(*call, "call_deadline_passed");
            finish(id, too_late(*call));
        }
        return;
    }
    if (call != nullptr && is_suspect_by_now(*call)) {
        refuse_waiting_suspect(*call, action.request);
        return;
    }
    if (call != nullptr &&
        find_backend(service, action.backend_server) != nullptr) {
        dispatch(*call, service, action);
        return;
    }
    // The configuration no longer names the server, or the call has ended, but
    // the slot must be freed.
    return_slot(service, action.request);
    if (call != nullptr && id == action.request) {
        own_answer dropped;
        dropped.reason = "backend-server-dropped";
        dropped.retry_after = retry_after_default;
        finish(id, dropped);
    }
}

void call_desk::dispatch(call_record& call, const std::string& service,
                         const decision::start_request& action) {
    const auto now = timers_.now();
    const auto& server = *find_backend(service, action.backend_server);
    const auto id = call.id;
    const auto attempt_id = action.request;
    const auto sent = pool_.send(
        make_backend_call(call, server),
        [this, id, attempt_id, service](forwarding::backend_result ended) {
            take_result(id, attempt_id, service, std::move(ended));
        },
        relay_handlers(id, attempt_id));
    outlet_.on_sent(server.name);
    const auto usual_delay =
        part_of(service).policies.hedges(call.labels.request_class).delay();
    const auto slow_after =
        action.slow_after > duration::zero() ? action.slow_after : usual_delay;
    const running_attempt attempt{
        attempt_id, action.backend_server, sent, now, action.from_peer,
        slow_after, server.incarnation};
    note(call, "call_placed", placed_facts(attempt, attempt_id != id));
    if (attempt_id != id) {
        call.hedge = attempt;
        call.hedge_waiting = 0;
        return;
    }
    call.running = attempt;
    call.silence_timer.cancel();
    arm_silence(call, slow_after);
    if (call.alone) {
        crashes_.on_trial_placed(crash_fingerprints(call),
                                 action.backend_server, server.incarnation);
    }
    if (call.may_run_again() && call.may_reach_another() && !call.hedged) {
        arm_hedge(call, slow_after);
    }
}

// A request that must not run twice is sent on a kept connection only if the
// connection was used a moment ago. If the other end has closed it since, the
// request is lost and its outcome unknown; a read would just be sent again.
duration call_desk::kept_for(const call_record& call) {
    return call.kind.nature == request_nature::at_most_once
               ? at_most_once_kept_for
               : retriable_kept_for;
}

forwarding::backend_call
call_desk::make_backend_call(const call_record& call,
                             const backend_server& to) const {
    attempt_facts facts;
    facts.request_id = call.request_id;
    facts.backend_server = to.name;
    facts.time_left = std::max<duration>(call.deadline - timers_.now(), 1ms);
    facts.attempt = call.attempts_above + call.attempts_here;
    forwarding::backend_call made;
    made.backend_server = to.name;
    made.host = to.host;
    made.port = to.port;
    made.method = call.content.method;
    made.target = call.content.target;
    if (!call.content.host.empty()) {
        made.headers.push_back({"Host", call.content.host});
    }
    for (auto& header :
         protocol_.backend_headers(call.content.headers, facts)) {
        made.headers.push_back(std::move(header));
    }
    made.body = call.content.body;
    made.more_body = call.content.more_body;
    made.body_length = call.content.body_length;
    made.echo = protocol_.echo_of(facts);
    made.kept_for = kept_for(call);
    made.still_wanted = [this, id = call.id] {
        const auto open = calls_.find(id);
        return open != calls_.end() && interest_.may_send(open->second);
    };
    return made;
}

backend_answer call_desk::read_answer(call_record& call,
                                      const running_attempt& attempt,
                                      const forwarding::backend_result& ended) {
    auto answer = protocol_.classify(ended);
    if (answer.incarnation == 0) {
        // A server that does not name its incarnation is taken for the one to
        // which the request was sent.
        answer.incarnation = attempt.incarnation;
    }
    if (ended.response) {
        answer.bytes = ended.response.value().body.size();
        return answer;
    }
    answer.bytes = call.relayed;
    note(call, "call_answer_lost",
         fact("error", to_string(ended.response.error())));
    return answer;
}

void call_desk::take_result(decision::request_id id,
                            decision::request_id attempt_id,
                            const std::string& service,
                            forwarding::backend_result ended) {
    const auto* open = find(id);
    if (open == nullptr) {
        return;
    }
    const bool was_hedge = attempt_id != id;
    const auto& ours = was_hedge ? open->hedge : open->running;
    const auto meaning =
        reach_.judge(ours->backend_server, ended,
                     [this, id, attempt_id, service,
                      ended](decision::failure_meaning known) {
                         settle_result(id, attempt_id, service, ended, known);
                     });
    if (meaning != decision::failure_meaning::open) {
        settle_result(id, attempt_id, service, std::move(ended), meaning);
    }
}

// Takes the result of an attempt once it is known what it means.
void call_desk::settle_result(decision::request_id id,
                              decision::request_id attempt_id,
                              const std::string& service,
                              forwarding::backend_result ended,
                              decision::failure_meaning meaning) {
    auto* call = find(id);
    if (call == nullptr) {
        return;
    }
    const bool was_hedge = attempt_id != id;
    auto& ours = was_hedge ? call->hedge : call->running;
    if (!ours || ours->id != attempt_id) {
        return; // it was given up while its meaning was open
    }
    auto& other = was_hedge ? call->running : call->hedge;
    const auto attempt = *ours;
    const auto answer = read_answer(*call, attempt, ended);
    ours.reset();
    hedges_.erase(attempt_id);
    report_end(*call, attempt, answer, meaning);
    if (call->answering) {
        end_relay(*call, answer);
        return;
    }
    if (other && answer.end != attempt_end::answered) {
        return; // the other attempt may still be answered
    }
    if (other) {
        const auto loser = *other;
        other.reset();
        note_lost_race(*call, loser);
        cancel_attempt(service, loser);
    }
    withdraw_second_copy(*call);
    end_with(*call, attempt, answer, std::move(ended), meaning);
}

void call_desk::report_end(call_record& call, const running_attempt& attempt,
                           const backend_answer& answer,
                           decision::failure_meaning meaning) {
    const bool of_server = meaning == decision::failure_meaning::of_server;
    const auto took = timers_.now() - attempt.started;
    note(call, "call_attempt_ended", ended_facts(attempt, answer, took));
    metrics_.backend_time.observe(call.labels, took);
    auto& part = part_of(call.labels.service);
    if (answer.end == attempt_end::answered) {
        part.policies.hedges(call.labels.request_class).on_latency(took);
    }
    if (of_server) {
        report_signs(call, attempt, answer);
    }
    end_trial(call);
    if (of_server) {
        outlet_.observe(attempt.backend_server, answer);
    }
    decision::request_finished finished;
    finished.request = attempt.id;
    finished.verdict = of_server ? verdict_of(answer.end)
                                 : decision::attempt_verdict::cancelled;
    finished.service_time =
        answer.outcome == run_outcome::ran ? took : duration::zero();
    finished.load = answer.load;
    finished.answer_bytes = answer.bytes;
    finished.terms = answer.terms;
    part.desk->handle(finished);
}

void call_desk::end_with(call_record& call, const running_attempt& attempt,
                         const backend_answer& answer,
                         forwarding::backend_result ended,
                         decision::failure_meaning meaning) {
    const bool unsent_in_vain =
        !ended.response && ended.response.error().code == error_code::cancelled;
    if (unsent_in_vain) {
        drop(call);
        return;
    }
    const bool reached_nobody =
        meaning == decision::failure_meaning::of_partition && !ended.sent;
    if (reached_nobody && reach_.partitioned()) {
        replace_by_detour(call);
        return;
    }
    if (answer.end != attempt_end::answered &&
        try_again(call, attempt, answer)) {
        return;
    }
    if (answer.outcome == run_outcome::ran) {
        finish(call.id, run_outcome::ran,
               protocol_.pass_on(std::move(ended.response.value()),
                                 route_of(self_.name, call, attempt)));
        return;
    }
    finish(call.id, lost_answer(answer));
}

bool call_desk::try_again(call_record& call, const running_attempt& attempt,
                          const backend_answer& answer) {
    if (!call.may_reach_another() || !interest_.may_send(call)) {
        return false;
    }
    auto& part = part_of(call.labels.service);
    decision::failed_attempt failed;
    failed.nature = call.content.more_body ? request_nature::at_most_once
                                           : call.kind.nature;
    failed.outcome = answer.outcome;
    failed.nested = call.nested;
    failed.attempts = call.attempts_here;
    failed.deadline = call.deadline;
    const auto decided =
        part.policies.retries().on_failed(failed, timers_.now());
    if (!std::holds_alternative<decision::retry_elsewhere>(decided)) {
        return false;
    }
    if (answer.outcome != run_outcome::not_run) {
        call.earlier = run_outcome::unknown;
    }
    if (!attempt.backend_server.empty()) {
        call.excluded.push_back(attempt.backend_server);
    }
    metrics_.retries.add(call.labels);
    queue_attempt(call);
    return true;
}

void call_desk::return_slot(const std::string& service,
                            decision::request_id attempt) {
    decision::request_finished ended;
    ended.request = attempt;
    ended.verdict = decision::attempt_verdict::cancelled;
    desk_of(service).handle(ended);
}

// On the loop's next turn: the slot may go to a call that is over too, and to
// the next one, as many as wait.
void call_desk::return_slot_later(const std::string& service,
                                  decision::request_id attempt) {
    late_slots_.push_back({service, attempt});
    late_slots_timer_ = timers_.after(duration::zero(), [this](time_point) {
        for (const auto& each : std::exchange(late_slots_, {})) {
            return_slot(each.service, each.attempt);
        }
    });
}

void call_desk::cancel_attempt(const std::string& service,
                               const running_attempt& attempt) {
    pool_.cancel(attempt.call);
    hedges_.erase(attempt.id);
    return_slot(service, attempt.id);
}

void call_desk::cancel_attempts(call_record& call) {
    const auto& service = call.labels.service;
    if (call.is_elsewhere()) {
        cancel_detour(call);
    } else if (call.running) {
        report_unanswered(call, *call.running);
        cancel_attempt(service, *call.running);
        call.running.reset();
    } else {
        desk_of(service).handle(decision::request_cancelled{call.id});
    }
    if (call.hedge) {
        report_unanswered(call, *call.hedge);
        cancel_attempt(service, *call.hedge);
        call.hedge.reset();
    }
}

} // namespace waxwingvale::entry
