// The part of call_desk that deals with the results of attempts on backend
// servers.

#include <utility>

#include <waxwingvale/entry/lost_attempt.hpp>

#include "entry/call_desk.hpp"
#include "entry/call_facts.hpp"

namespace waxwingvale::entry {

namespace {

// Of the time until an answer was read, the process may have stood still for
// one in so many parts; with more, the answer may have waited for most of it.
constexpr int least_parts_known = 4;

decision::attempt_verdict verdict_of(attempt_end end) {
    switch (end) {
    case attempt_end::answered:
        return decision::attempt_verdict::answered;
    case attempt_end::failed:
    case attempt_end::refused_unproven:
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
        // The other attempt may still be answered; if it is not even sent,
        // this one has perhaps run.
        if (answer.outcome != run_outcome::not_run) {
            call->earlier = run_outcome::unknown;
        }
        return;
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

bool call_desk::time_is_known(const running_attempt& attempt) const {
    const auto took = timers_.now() - attempt.started;
    const auto held_up = lateness_.held_up() - attempt.held_up_before;
    return held_up * least_parts_known <= took;
}

void call_desk::report_end(call_record& call, const running_attempt& attempt,
                           const backend_answer& answer,
                           decision::failure_meaning meaning) {
    const bool of_server = meaning == decision::failure_meaning::of_server;
    const auto took = timers_.now() - attempt.started;
    note(call, "call_attempt_ended", ended_facts(attempt, answer, took));
    metrics_.backend_time.observe(call.labels, took);
    auto& part = part_of(call.labels.service);
    const bool time_known = time_is_known(attempt);
    if (answer.end == attempt_end::answered && time_known) {
        part.policies.hedges(call.labels.request_class).on_latency(took);
    }
    if (of_server) {
        report_signs(call, attempt, answer);
    } else if (meaning == decision::failure_meaning::unproven) {
        report_loss_when_checked(call, attempt, answer);
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
    finished.time_known = time_known;
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
    if (!has_whole_body(call)) {
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
