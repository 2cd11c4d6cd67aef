#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "decision/admission.hpp"
#include "decision/grant_borrower.hpp"
#include "decision/grant_lender.hpp"
#include "decision/offered_load.hpp"
#include "decision/repeat_lenders.hpp"
#include "decision/request_queue.hpp"
#include "decision/slot_table.hpp"
#include "decision/unresponsive_owners.hpp"
#include <waxwingvale/decision/repeat_budget.hpp>
#include <waxwingvale/decision/service_scheduler.hpp>

namespace waxwingvale::decision {

// Holds the parts of a service_scheduler and passes events through them.
class service_scheduler::impl {
public:
    impl(std::string service, member_id self, const scheduling_policy& policy,
         time_point process_began);

    void handle(const scheduler_event& event, time_point now,
                std::vector<scheduler_action>& actions);

    std::size_t queued() const { return queue_.size() + late_queue_.size(); }
    std::size_t in_flight() const { return running_.size(); }
    bool has_spare_slot() const;
    bool owns_slots() const { return table_.owns_any(); }
    scheduler_load load(time_point now) const;
    std::vector<slot_report> slots() const;
    std::vector<std::string> servers_to_probe(time_point now) const;
    bool may_probe(const std::string& backend_server, time_point now) const;

private:
    using action_list = std::vector<scheduler_action>;

    // A request that was started and has not finished.
    struct running_request {
        std::string request_class;
        std::string backend_server;
        attempt_ref attempt = 0; // 0: on a slot leased from a peer
        time_point started_at{};
        backend_incarnation incarnation = 0;
        std::string from_peer; // empty: the slot is not leased
        grant_id grant = 0;
    };

    // The servers on which queued requests look for a slot; none: all servers.
    using candidate_servers = std::optional<std::vector<slot_table::index>>;

    // An attempt that ended, on this instance or on a peer that leased a slot.
    struct finished_attempt {
        std::string backend_server;
        std::string request_class;
        attempt_ref attempt = 0;
        grant_use use;
    };

    // A request that must not run twice and waits for a fresh view.
    struct awaiting_request {
        request_arrived request;
        time_point until{};
    };

    void on(const view_changed& event);
    void on(const peer_reachability& event);
    void on(const request_arrived& event);
    void on(const answer_begun& event);
    void on(const request_finished& event);
    void on(const request_cancelled& event);
    void on(const slots_asked& event);
    void on(const ask_answered& event);
    void on(const grant_received& event);
    void on(const grant_returned& event);
    void on(const repeats_asked& event);
    void on(const repeats_given& event);
    void on(const probe_started& event);
    void on(const probe_ended& event);
    void on(const time_passed& event);

    // scheduler_requests.cpp
    bool refuse_if_impossible(const request_arrived& request);
    void admit(queued_request entry);
    void place(queued_request entry);
    void enqueue(queued_request entry);
    void enqueue_late(queued_request entry);
    void assign_slot(const queued_request& entry, slot_table::index at);
    void start(const queued_request& entry, slot_table::index at);
    duration slow_after(const queued_request& entry,
                        slot_table::index at) const;
    void decline(const queued_request& entry, refusal_reason reason);
    void decline_all();
    void decline_unserveable();
    void refuse(request_id request, refusal_reason reason);
    bool try_assign_slot(const queued_request& entry);
    // Whether this instance may use slots of its own or a share of the slots of
    // other owners. If not, owners decide when the requests queued here start.
    bool has_usable_slots() const { return table_.has_slots(); }
    duration backlog() const;
    double spare_slots() const;
    double slots_for(const request_arrived& request) const;
    duration next_retry_delay();
    double tolerated_loss(const queued_request& entry) const;
    slot_requirements requirements_of(const queued_request& entry) const;
    time_point latest_start_within_target(const request_arrived& request) const;
    std::optional<work_forecast> forecast_of(const queued_request& entry) const;
    bool server_restarted(const running_request& ended) const;
    void record_rest(const running_request& ended,
                     const std::optional<backend_terms>& terms);
    void record_result(const finished_attempt& ended);

    // scheduler_dispatch.cpp
    void revive_overdue();
    void drop_overdue();
    void drop_overdue_late();
    void dispatch();
    void dispatch_from(request_queue& queue, const candidate_servers& slots);
    bool other_owners_are_more_urgent() const;
    bool dispatch_one(request_queue& queue, const candidate_servers& slots,
                      std::vector<queued_request>& skipped);

    // scheduler_stale_view.cpp
    bool blocked_by_stale_view(const request_arrived& request) const;
    void await_fresh_view(request_arrived request);
    void settle_awaiting_view();
    bool awaits_view(request_id request) const;
    void cancel_awaiting_view(request_id request);
    void decline_all_awaiting_view();
    void prolong_awaiting_view(duration late_by);
    std::optional<time_point> next_end_of_awaiting_view() const;

    // scheduler_grants.cpp
    void admit_from_peer(const std::string& peer,
                         const waiting_request& waiting);
    bool is_queued(const request_origin& origin) const;
    void admit_from_owner(queued_request entry);
    void retain_queued(const std::string& peer,
                       const std::set<request_id>& kept);
    void remove_queued(const request_origin& origin);
    bool confirmation_expired(const queued_request& entry) const;
    std::string data_centre_of(const std::string& peer) const;
    void grant(const queued_request& entry, slot_table::index at);
    void answer_peers();
    bool start_on_grant(const grant_received& grant);
    std::optional<queued_request> take_request_for(const grant_received& grant);
    bool suits(const queued_request& entry, const grant_received& grant) const;
    void return_unused(const grant_received& grant);
    void end_expired_leases();
    void ask_lenders();
    const queued_request* find_queued(request_id request) const;
    duration expected_time_of(request_id request) const;
    waiting_request describe(request_id request) const;
    bool is_owner_or_standby(const std::string& peer) const;
    void note_message_from(const std::string& peer);
    void note_owner_message_from(const std::string& peer);
    void apply_reachability();
    void detect_unresponsive_owners();
    void check_unresponsive_owners();

    // The answer due to a peer at the end of the current event.
    struct peer_reply {
        bool asked = false;   // the peer asked, so that it must get an answer
        bool granted = false; // a grant was sent, which serves as the answer
        std::vector<declined_request> declined;
    };

    // scheduler_repeats.cpp
    // What becomes of the payment for a request.
    enum class payment {
        done,    // or none is needed
        awaited, // peers may give what is missing
        impossible
    };
    payment pay(queued_request& entry);
    void decline_unpaid(const queued_request& entry);
    void await_payment(queued_request entry);
    void settle_unpaid();
    void ask_for_repeats();
    void cancel_unpaid(request_id request);
    void decline_all_unpaid();
    void note_sent(const queued_request& entry);
    void update_repeat_limits();
    repeat_report report_repeats(time_point now) const;

    duration lateness(time_point now) const;
    void after_event();
    void request_wake_up();

    std::string service_;
    member_id self_;
    scheduling_policy policy_;
    time_point now_{};
    action_list* actions_ = nullptr; // set while an event is handled
    view_changed view_; // the last one whose configuration names the service
    bool service_removed_ = false; // the current configuration does not name it
    // Peers with a working link, and those of them that are owners but leave
    // requests for slots unanswered.
    std::unordered_set<std::string> linked_peers_;
    unresponsive_owners unresponsive_owners_;
    slot_table table_;
    // Requests that can still meet their target or deadline, and requests that
    // can only be answered after their target. The latter get the slots that
    // nothing else needs.
    request_queue queue_;
    request_queue late_queue_;
    // Requests of other owners that have no free slots at the moment.
    request_queue other_owners_queue_;
    offered_load offered_load_;
    time_point process_began_;
    repeat_budget repeats_;
    repeat_lenders lenders_;
    // Repeated attempts that wait until they are paid for.
    std::vector<queued_request> unpaid_;
    std::vector<awaiting_request> awaiting_view_;
    admission admission_;
    grant_lender lender_;
    grant_borrower borrower_;
    std::map<std::string, peer_reply> replies_;
    std::unordered_map<request_id, running_request> running_;
    std::optional<time_point> wake_at_;
    // When queued requests consider all servers again, rather than only those
    // whose state has changed.
    time_point next_full_scan_at_{};
    std::uint64_t refused_ = 0;
    repeat_report repeat_report_; // its counts since the start
};

} // namespace waxwingvale::decision
