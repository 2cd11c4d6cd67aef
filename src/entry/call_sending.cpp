// The part of call_desk that sends attempts to backend servers.

#include <algorithm>
#include <utility>

#include "entry/call_desk.hpp"
#include "entry/call_facts.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

constexpr duration at_most_once_kept_for = 200ms;
constexpr duration retriable_kept_for = 10s;

} // namespace

// A backend server that got a body without a part of it could not tell, and
// would run what nobody sent.
bool call_desk::has_whole_body(call_record& call) {
    if (!call.content.more_body || call.content.more_body->at_hand()) {
        return true;
    }
    note(call, "call_body_not_kept");
    metrics_.bodies_not_kept.add();
    return false;
}

void call_desk::refuse_partial_body(const call_record& call) {
    own_answer answer;
    answer.reason = "body-not-kept";
    answer.retry_after = retry_after_default;
    finish(call.id, answer);
}

void call_desk::queue_attempt(call_record& call) {
    if (!has_whole_body(call)) {
        refuse_partial_body(call);
        return;
    }
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
    if (action.from_peer.empty() &&
        !desk_of(service).scheduler().owns_slots()) {
        crashes_.on_sent_unasked();
    }
    const auto usual_delay =
        part_of(service).policies.hedges(call.labels.request_class).delay();
    const auto slow_after =
        action.slow_after > duration::zero() ? action.slow_after : usual_delay;
    const running_attempt attempt{attempt_id,
                                  action.backend_server,
                                  sent,
                                  now,
                                  action.from_peer,
                                  slow_after,
                                  server.incarnation,
                                  lateness_.held_up()};
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
    if (call.content.more_body) {
        made.more_body = call.content.more_body->open();
    }
    made.body_length = call.content.body_length;
    made.echo = protocol_.echo_of(facts);
    made.kept_for = kept_for(call);
    made.still_wanted = [this, id = call.id] {
        const auto open = calls_.find(id);
        return open != calls_.end() && interest_.may_send(open->second);
    };
    return made;
}

} // namespace waxwingvale::entry
