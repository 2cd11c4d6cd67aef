#include "entry/call_desk.hpp"

#include <algorithm>
#include <utility>
#include <waxwingvale/program/state_log.hpp>

#include "entry/call_facts.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// A shorter lag is usual on a machine that does its work.
constexpr duration lag_to_log = 100ms;

// Bytes of long bodies that are kept beside their first part.
constexpr std::size_t copy_limit = 1024 * 1024;            // of one
constexpr std::size_t all_copies_limit = 16 * 1024 * 1024; // of all open calls
// Of what may be held for callers altogether.
constexpr std::size_t copies_part = 4;

own_answer not_understood(const error& why) {
    own_answer answer;
    answer.detail = why.detail;
    switch (why.code) {
    case error_code::not_found:
        answer.status = status::not_found;
        answer.reason = "no-such-service";
        break;
    case error_code::refused:
        answer.status = status::forbidden;
        answer.reason = "tenant-refused";
        break;
    default:
        answer.status = status::bad_request;
        answer.reason = "bad-request";
    }
    return answer;
}

own_answer not_proved(const view& known, const char* reason) {
    own_answer answer;
    answer.reason = known.fresh ? reason : "stale-view";
    answer.retry_after = retry_after_start;
    return answer;
}

// Of a name that the configuration lacks.
own_answer not_known_yet(const view& known) {
    return not_proved(known, "unproved-configuration");
}

// Of a request whose route may lead elsewhere by now.
own_answer held_in_vain(const view& known) {
    return not_proved(known, "unproved-route");
}

request_content content_of(const forwarding::caller_exchange_ptr& caller,
                           const std::string& target,
                           const std::shared_ptr<copy_budget>& copies) {
    auto request = caller->take_request();
    request_content content;
    content.method = std::move(request.method);
    content.target = target;
    if (const auto* host = io::find_header(request.headers, "Host")) {
        content.host = *host;
    }
    content.headers = io::end_to_end_headers(request.headers);
    const bool names_length =
        io::find_header(request.headers, "Content-Length") != nullptr;
    if (!request.body.empty() || names_length || !caller->body_complete()) {
        content.body =
            std::make_shared<const std::string>(std::move(request.body));
    }
    if (!caller->body_complete()) {
        content.more_body = std::make_shared<long_body>(caller, copies);
        content.body_length = caller->body_length();
    }
    return content;
}

std::size_t memory_of(const request_content& of) {
    return of.target.capacity() + io::memory_of(of.headers) +
           (of.body ? of.body->capacity() : 0);
}

} // namespace

call_desk::call_desk(member_id self, const request_protocol& protocol,
                     kernel::event_loop& loop, kernel::timer_service& timers,
                     forwarding::backend_pool& pool, io::message_hub& hub,
                     entry_metrics& metrics, reach_watch& reach,
                     detour_desk& detours, call_desk_outlet& outlet)
    : self_(self),
      protocol_(protocol),
      timers_(timers),
      began_(timers.now()),
      pool_(pool),
      metrics_(metrics),
      log_(timers, metrics,
           [this] {
               log_lag();
               for (auto& entry : services_) {
                   entry.second.desk->log_load();
               }
           }),
      lateness_(loop, timers),
      outlet_(outlet),
      keys_(self, hub, timers, *this),
      interest_(pool, keys_),
      crashes_(self.name, hub, timers, metrics.suspicions,
               metrics.suspicion_words_sent),
      reach_(reach),
      detours_(detours),
      targets_(self.name),
      held_(timers, [this](const arrival& came) { refuse_held(came); }),
      copies_(std::make_shared<copy_budget>(copy_limit, all_copies_limit)) {}

void call_desk::charge_to(const kernel::memory_account_ptr& account) {
    account_ = account;
    const auto most =
        std::min(all_copies_limit, account->limit() / copies_part);
    copies_ = std::make_shared<copy_budget>(copy_limit, most, account);
}

void call_desk::take(forwarding::caller_exchange_ptr caller) {
    take_or_hold({std::move(caller), std::nullopt, timers_.now()});
}

// A request is not understood before it is known by which configuration.
void call_desk::take_or_hold(arrival came) {
    if (view_ && view_->config && !view_->routes_hold) {
        held_.hold(std::move(came));
        return;
    }
    take(std::move(came));
}

void call_desk::refuse_held(const arrival& came) {
    log_unnamed(came.caller->request(), "call_held_in_vain", view_.get(), "");
    auto answer = held_in_vain(*view_);
    if (!came.detoured) {
        leave_open_if_resent(answer, came.caller->request());
    }
    answer_unnamed(came.caller, answer, came.detoured.has_value());
}

// What a request for a peer is answered before it becomes a call: the peer must
// know whether another instance may take it.
void call_desk::answer_unnamed(const forwarding::caller_exchange_ptr& caller,
                               const own_answer& answer, bool detoured) {
    auto rendered = protocol_.render(answer);
    if (detoured) {
        const bool not_taken = answer.status == status::service_unavailable &&
                               answer.outcome == run_outcome::not_run;
        add_outcome_header(rendered.headers,
                           not_taken ? detour_outcome::not_taken
                                     : to_detour_outcome(answer.outcome));
    }
    caller->answer(std::move(rendered));
}

void call_desk::take(arrival came) {
    auto& caller = came.caller;
    const bool for_peer = came.detoured.has_value();
    if (!view_ || !view_->config) {
        log_unnamed(caller->request(), "call_without_configuration", nullptr,
                    "");
        own_answer answer;
        answer.reason = "no-configuration";
        answer.retry_after = retry_after_start;
        if (!for_peer) {
            leave_open_if_resent(answer, caller->request());
        }
        answer_unnamed(caller, answer, for_peer);
        return;
    }
    const auto understood =
        protocol_.understand(*view_->config, caller->request());
    if (!understood) {
        metrics_.not_understood.add();
        log_unnamed(caller->request(), "call_not_understood", view_.get(),
                    understood.error().detail);
        auto answer = not_understood(understood.error());
        if (answer.status == status::not_found ||
            answer.status == status::forbidden) {
            answer = proves_absence(*view_) ? answer : not_known_yet(*view_);
            leave_open_if_resent(answer, caller->request());
        }
        answer_unnamed(caller, answer, for_peer);
        return;
    }
    const auto id = next_id_++;
    auto& call =
        calls_
            .emplace(std::piecewise_construct, std::forward_as_tuple(id),
                     std::forward_as_tuple(id, std::move(caller)))
            .first->second;
    admit(call, understood.value(), came);
}

// A process that has just started remembers no key, and one whose configuration
// lost a class looks for none. "Not run" would be untrue of a booking that ran
// before: its caller would book once more.
void call_desk::leave_open_if_resent(own_answer& answer,
                                     const io::http_request& request) const {
    if (protocol_.may_be_resent(request)) {
        answer.outcome = run_outcome::unknown;
    }
}

void call_desk::admit(call_record& call, const caller_call& understood,
                      const arrival& came) {
    const auto& detoured = came.detoured;
    call.kind = understood.kind;
    call.request_id = understood.id;
    call.caller->give_name(understood.id);
    call.labels = {understood.tenant,
                   targets_.next(understood.kind.name, understood.targets),
                   understood.kind.name};
    call.content = content_of(call.caller, understood.target, copies_);
    call.content.authority = understood.authority;
    call.arrived = came.at;
    call.deadline = call.arrived + understood.time_left;
    set_target(call, understood);
    call.nested = understood.attempt.has_value();
    call.attempts_above = understood.attempt.value_or(0);
    if (detoured) {
        call.detoured_for = detoured->from;
        call.attempts_here = detoured->attempts_before;
        call.deadline =
            std::min(call.deadline, call.arrived + detoured->time_left);
        call.earlier = detoured->may_have_run ? run_outcome::unknown
                                              : run_outcome::not_run;
        metrics_.detours_taken.add();
    }
    if (ends_by_) {
        call.deadline = std::min(call.deadline, *ends_by_);
    }
    metrics_.calls.add(call.labels);
    metrics_.open_calls.set(static_cast<double>(calls_.size()));
    call.held = kernel::memory_charge(account_);
    call.held.set(memory_of(call.content));
    call.caller->set_kept(call.held.bytes());
    call.caller->on_abandoned([this, id = call.id] { abandon(id); });
    call.caller->on_shed([this, id = call.id] { return refuse_if_unsent(id); });
    note(call, "call_taken", taken_facts(call, *view_, timers_.now()));
    arm_deadline(call);
    // The instance that the caller asked looks after its key.
    const bool keyed = call.kind.nature == request_nature::at_most_once &&
                       understood.key && call.content.more_body == nullptr &&
                       !detoured;
    if (!keyed) {
        queue_attempt(call);
        return;
    }
    static const std::string no_body;
    const auto& body = call.content.body ? *call.content.body : no_body;
    call.fingerprint = decision::fingerprint_of(
        call.labels.service, call.content.method, call.content.target, body);
    call.key = held_key{*understood.key, 0};
    keys_.on_request(call.key->key, call.fingerprint, call.id);
}

void call_desk::set_target(call_record& call, const caller_call& understood) {
    if (call.kind.target_latency <= duration::zero()) {
        return;
    }
    duration spent{};
    if (understood.caller_waits) {
        spent = patience_.spent_before(call.kind.name, *understood.caller_waits,
                                       call.arrived);
    }
    call.target = call.arrived + call.kind.target_latency - spent;
}

void call_desk::send(const outgoing_grant_message& message) {
    metrics_.grants_sent.add();
    outlet_.send_to_peer(message);
}

// A process that lags reads requests, and their callers' closes, as much later
// than they came.
void call_desk::log_lag() {
    const auto longest = lateness_.take_longest();
    metrics_.process_lag.set(std::chrono::duration<double>(longest).count());
    if (longest >= lag_to_log) {
        program::log_change("process_lagged",
                            {{"longest_ms", std::to_string(longest / 1ms)}});
    }
}

void call_desk::note(call_record& call, const char* event, std::string facts) {
    call.story.add(timers_.now(), event, std::move(facts));
}

call_record* call_desk::find(decision::request_id id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

} // namespace waxwingvale::entry
