#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <waxwingvale/entry/request_protocol.hpp>
#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/forwarding/caller_exchange.hpp>
#include <waxwingvale/kernel/lateness_meter.hpp>
#include <waxwingvale/kernel/memory_account.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/program/view_published.hpp>

#include "entry/call_log.hpp"
#include "entry/call_record.hpp"
#include "entry/caller_interest.hpp"
#include "entry/caller_patience.hpp"
#include "entry/crash_guard.hpp"
#include "entry/detour_desk.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/held_arrivals.hpp"
#include "entry/key_desk.hpp"
#include "entry/reach_watch.hpp"
#include "entry/service_desk.hpp"
#include "entry/service_policies.hpp"
#include "entry/target_choice.hpp"

namespace waxwingvale::entry {

// What the call desk tells other parts about backend servers and peers.
class call_desk_outlet {
public:
    virtual ~call_desk_outlet() = default;
    // A request goes to the backend server.
    virtual void on_sent(const std::string& backend_server) = 0;
    // A backend server's answer, or the lack of one, says something of it.
    virtual void observe(const std::string& backend_server,
                         const backend_answer& answer) = 0;
    virtual void send_to_peer(const outgoing_grant_message& message) = 0;
};

// Follows every caller's request from its arrival to its one answer: keys
// first, then a slot by the service's scheduler, then the backend server,
// retries and hedges where they are allowed, and the answer.
class call_desk : public scheduler_outlet, public key_outlet {
public:
    call_desk(member_id self, const request_protocol& protocol,
              kernel::event_loop& loop, kernel::timer_service& timers,
              forwarding::backend_pool& pool, io::message_hub& hub,
              entry_metrics& metrics, reach_watch& reach, detour_desk& detours,
              call_desk_outlet& outlet);

    // A caller's request.
    void take(forwarding::caller_exchange_ptr caller);
    // A request that a partitioned instance hands on.
    void take_detoured(forwarding::caller_exchange_ptr caller);
    // This instance has become partitioned from the backend servers, or is no
    // more.
    void follow_reach(bool partitioned);
    // A newer view: every service's scheduler and the keys follow it.
    void take(const program::view_published& published);
    // A peer's scheduler message.
    void take(const incoming_grant_message& message);
    void take(const decision::peer_reachability& reach);
    // A probe of one of the service's backend servers is sent, or ended.
    void take(const std::string& service, const decision::probe_started& probe);
    void take(const std::string& service, const decision::probe_ended& probe);
    // What the end of a probe shows of its server.
    void take_probe_sign(const attempt_sign& shown);

    // What to probe, see service_scheduler::servers_to_probe().
    std::vector<std::string> servers_to_probe(const std::string& service) const;
    bool may_probe(const std::string& service,
                   const std::string& backend_server) const;

    // Counts there what calls hold from now on; before the first of them.
    void charge_to(const kernel::memory_account_ptr& account);

    // See crash_guard::on_refused().
    void
    on_refused(std::function<void(const std::vector<std::uint64_t>&)> handler) {
        crashes_.on_refused(std::move(handler));
    }

    // This instance stops: what is open then gets its answer by that time, and
    // what comes yet is not begun if it takes longer.
    void end_by(time_point latest);

    // Sees that lines which wait are handed on within a second.
    void arm_log() { log_.arm(); }

    // Calls that have no answer yet.
    std::size_t open_calls() const { return calls_.size(); }

    void start(const std::string& service,
               const decision::start_request& action) override;
    void refuse(const decision::refuse_request& action) override;
    void expire(const decision::expire_request& action) override;
    void send(const outgoing_grant_message& message) override;
    void settle(decision::waiter_id waiter,
                const decision::key_decision& decision) override;

private:
    struct settle_call;
    struct late_slot {
        std::string service;
        decision::request_id attempt = 0;
    };
    struct admit_suspect;

    // One service: its scheduler and its budgets.
    struct service_part {
        std::unique_ptr<service_desk> desk;
        service_policies policies;
    };

    // call_desk.cpp: arrival
    call_record* find(decision::request_id id);
    void take_or_hold(arrival came);
    void take(arrival came);
    void refuse_held(const arrival& came);
    void answer_unnamed(const forwarding::caller_exchange_ptr& caller,
                        const own_answer& answer, bool detoured);
    void leave_open_if_resent(own_answer& answer,
                              const io::http_request& request) const;
    void admit(call_record& call, const caller_call& understood,
               const arrival& came);
    void set_target(call_record& call, const caller_call& understood);
    void follow(const view& now, const decision::service_ownerships& owners);
    void log_lag();
    void note(call_record& call, const char* event, std::string facts = {});
    service_part& part_of(const std::string& service);
    service_desk& desk_of(const std::string& service);
    const backend_server* find_backend(const std::string& service,
                                       const std::string& name) const;

    // call_ends.cpp: how calls end
    void arm_deadline(call_record& call);
    void pass_deadline(decision::request_id id);
    // Whether a server may work at it, or may have.
    bool may_run(const call_record& call) const;
    bool ends_with_stop(const call_record& call) const;
    own_answer too_late(const call_record& call) const;
    void abandon(decision::request_id id);
    void drop(call_record& call);
    // Whether the call was answered as not run, since nothing of it was sent.
    bool refuse_if_unsent(decision::request_id id);
    void finish(decision::request_id id, run_outcome outcome,
                io::http_response answer);
    void finish(decision::request_id id, const own_answer& answer);
    void close_record(call_record& call, call_end end,
                      decision::answer_ptr answer);

    // call_sending.cpp: sending attempts to backend servers
    // Whether one more attempt would have every byte of the body.
    bool has_whole_body(call_record& call);
    void refuse_partial_body(const call_record& call);
    void queue_attempt(call_record& call);
    decision::request_arrived slot_request(const call_record& call) const;
    void dispatch(call_record& call, const std::string& service,
                  const decision::start_request& action);
    // How long ago a connection that was kept may have been used.
    static duration kept_for(const call_record& call);
    forwarding::backend_call make_backend_call(const call_record& call,
                                               const backend_server& to) const;

    // call_attempts.cpp: the results of attempts
    backend_answer read_answer(call_record& call,
                               const running_attempt& attempt,
                               const forwarding::backend_result& ended);
    void take_result(decision::request_id id, decision::request_id attempt_id,
                     const std::string& service,
                     forwarding::backend_result ended);
    void settle_result(decision::request_id id, decision::request_id attempt_id,
                       const std::string& service,
                       forwarding::backend_result ended,
                       decision::failure_meaning meaning);
    // Whether an attempt's time until now says how long its server took.
    bool time_is_known(const running_attempt& attempt) const;
    void report_end(call_record& call, const running_attempt& attempt,
                    const backend_answer& answer,
                    decision::failure_meaning meaning);
    void end_with(call_record& call, const running_attempt& attempt,
                  const backend_answer& answer,
                  forwarding::backend_result ended,
                  decision::failure_meaning meaning);
    bool try_again(call_record& call, const running_attempt& attempt,
                   const backend_answer& answer);
    // The slot of an attempt that is not made, or no longer.
    void return_slot(const std::string& service, decision::request_id attempt);
    void return_slot_later(const std::string& service,
                           decision::request_id attempt);
    void cancel_attempt(const std::string& service,
                        const running_attempt& attempt);
    void cancel_attempts(call_record& call);

    // call_trials.cpp: requests suspected of crashing backend servers
    copy_fingerprints crash_fingerprints(const call_record& call) const;
    bool pass_crash_guard(call_record& call);
    void end_trial(call_record& call);
    void report_signs(const call_record& call, const running_attempt& attempt,
                      const backend_answer& answer);
    void report_loss_when_checked(const call_record& call,
                                  const running_attempt& attempt,
                                  const backend_answer& answer);
    void report_unanswered(const call_record& call,
                           const running_attempt& attempt);
    bool is_suspect_by_now(const call_record& call);
    void refuse_waiting_suspect(call_record& call,
                                decision::request_id waiting);

    // call_detours.cpp: service by way of other instances
    void wait_for_check(call_record& call);
    void refuse_unreached(call_record& call);
    void serve_by_detour(call_record& call);
    void replace_by_detour(call_record& call);
    void send_to(const member& by, call_record& call);
    void take_detour_end(decision::request_id id,
                         forwarding::backend_result ended);
    void end_detour_with(call_record& call, const running_detour& by,
                         io::http_response answer);
    void end_lost_detour(call_record& call, const running_detour& by,
                         const forwarding::backend_result& ended);
    void try_other_detour(call_record& call);
    forwarding::backend_call detour_call(const call_record& call) const;
    forwarding::long_answer_handlers detour_handlers(decision::request_id id);
    void begin_detour_answer(decision::request_id id, io::http_response head,
                             std::optional<std::uint64_t> length);
    void cancel_detour(call_record& call);
    void leave_servers(call_record& call);
    void leave_servers_at(call_record& call, time_point when);
    void forget_connections();
    void mark_for_peer(const call_record& call, run_outcome outcome,
                       io::http_response& answer) const;

    // call_slowness.cpp: answers that are slow to come
    // After so long an attempt's connection counts as silent.
    static duration silent_after(duration slow);
    void arm_silence(call_record& call, duration slow);
    void replace_silent(decision::request_id id);
    void note_lost_race(const call_record& call, const running_attempt& loser);
    void arm_hedge(call_record& call, duration delay);
    void consider_hedge(decision::request_id id);
    void send_second_copy(call_record& call, bool only_if_spare);
    void drop_waiting_hedge(call_record& call);
    void withdraw_second_copy(call_record& call);

    // call_relay.cpp: answers that are passed on while they come
    forwarding::long_answer_handlers
    relay_handlers(decision::request_id id, decision::request_id attempt_id);
    backend_answer meaning_of(const io::http_response& head) const;
    void begin_relay(decision::request_id id, decision::request_id attempt_id,
                     const io::http_response& head,
                     std::optional<std::uint64_t> length);
    void relay(decision::request_id id, const std::string& bytes);
    void end_relay(call_record& call, const backend_answer& answer);
    void cut_answer(call_record& call, forwarding::request_end why);

    member_id self_;
    const request_protocol& protocol_;
    kernel::timer_service& timers_;
    time_point began_;
    std::optional<time_point> ends_by_; // see end_by()
    forwarding::backend_pool& pool_;
    entry_metrics& metrics_;
    call_log log_;
    kernel::lateness_meter lateness_;
    call_desk_outlet& outlet_;
    key_desk keys_;
    caller_interest interest_;
    crash_guard crashes_;
    reach_watch& reach_;
    detour_desk& detours_;
    target_choice targets_;
    held_arrivals held_;
    kernel::memory_account_ptr account_;  // null: nothing is counted
    std::shared_ptr<copy_budget> copies_; // outlives open bodies
    caller_patience patience_;
    view_ptr view_;
    std::map<std::string, service_part> services_;
    std::map<std::string, bool> reachable_; // peers, by member name
    std::vector<late_slot> late_slots_;     // see return_slot_later()
    kernel::timer_service::subscription late_slots_timer_;
    decision::request_id next_id_ = 1;
    std::unordered_map<decision::request_id, call_record> calls_;
    // The scheduler's number of each hedge, and the call it belongs to.
    std::unordered_map<decision::request_id, decision::request_id> hedges_;
};

} // namespace waxwingvale::entry
