#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "decision/admission.hpp"
#include "decision/grant_borrower.hpp"
#include "decision/grant_lender.hpp"
#include "decision/request_queue.hpp"
#include "decision/slot_table.hpp"
#include <waxwingvale/decision/service_scheduler.hpp>

namespace waxwingvale::decision {

// The parts of a service_scheduler and how events pass through them.
class service_scheduler::impl {
public:
    impl(std::string service, member_id self, const scheduling_policy& policy);

    void handle(const scheduler_event& event, time_point now,
                std::vector<scheduler_action>& actions);

    std::size_t queued() const { return queue_.size(); }
    std::size_t in_flight() const { return running_.size(); }
    bool has_spare_slot() const;
    std::vector<slot_report> slots() const;

private:
    using action_list = std::vector<scheduler_action>;

    // A request that was started and has not finished.
    struct running_request {
        std::string request_class;
        std::string backend_server;
        time_point started_at{};
        std::string from_peer;
        grant_id grant = 0;
    };

    void on(const view_changed& event);
    void on(const peer_reachability& event);
    void on(const request_arrived& event);
    void on(const request_finished& event);
    void on(const request_cancelled& event);
    void on(const grants_asked& event);
    void on(const ask_answered& event);
    void on(const grant_received& event);
    void on(const grant_returned& event);
    void on(const time_passed& event);

    // scheduler_requests.cpp
    bool refuse_at_once(const request_arrived& request);
    void enqueue(const request_arrived& request);
    void start(const request_arrived& request, slot_table::index place,
               const std::string& from_peer, grant_id grant);
    void refuse(request_id request, refusal_reason reason);
    void drop_overdue();
    void dispatch();
    bool dispatch_one(std::vector<queued_request>& parked);
    bool runs_stale(const request_arrived& request) const;
    duration backlog() const;
    duration expected_wait(const request_arrived& request,
                           time_point latest_start) const;
    slot_wish wish_of(const request_arrived& request,
                      time_point arrived_at) const;
    void learn(const std::string& backend_server,
               const std::string& request_class, attempt_verdict verdict,
               duration service_time, time_point started_at);

    // scheduler_grants.cpp
    // What requests that wait here mean for lending: they go first, unless a
    // peer's are far more urgent, or no free slot suits them anyhow.
    enum class work_waiting { first, cannot_use };
    void lend(work_waiting waiting);
    bool lend_one(work_waiting waiting);
    bool ours_first(const standing_ask& ask) const;
    void answer(const grants_asked& asked);
    unsigned beyond_capacity(const grants_asked& asked) const;
    bool start_on_grant(const grant_received& grant);
    void return_unused(const grant_received& grant);
    void end_leases();
    void borrow();
    void refuse_declined();
    void hear(const std::string& peer);
    void apply_reachability();
    void watch_silence();

    void settle();
    void wake();

    std::string service_;
    member_id self_;
    scheduling_policy policy_;
    time_point now_{};
    action_list* actions_ = nullptr; // while an event is handled
    view_changed view_;
    std::unordered_set<std::string> linked_; // peers with a working link
    std::unordered_set<std::string> silent_; // of those, without answers
    slot_table table_;
    request_queue queue_;
    admission admission_;
    grant_lender lender_;
    grant_borrower borrower_;
    std::unordered_map<request_id, running_request> running_;
    std::optional<time_point> wake_at_;
};

} // namespace waxwingvale::decision
