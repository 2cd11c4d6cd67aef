#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>

#include "waxwing_entry/backend_answer.hpp"
#include "waxwing_entry/call_record.hpp"
#include "waxwing_entry/caller_answer.hpp"
#include "waxwing_entry/caller_call.hpp"
#include "waxwing_entry/entry_metrics.hpp"
#include "waxwing_entry/key_desk.hpp"
#include "waxwing_entry/service_desk.hpp"

namespace waxwingvale::entry {

// What the call desk tells other parts about backend servers and peers.
class call_desk_outlet {
public:
    virtual ~call_desk_outlet() = default;
    // A backend server's answer, or the lack of one, says something of it.
    virtual void observe(const std::string& backend_server,
                         const backend_answer& answer) = 0;
    virtual void send_to_peer(const outgoing_grant_message& message) = 0;
};

// Follows every caller's request from its arrival to its one answer: keys
// first, then a slot by the service's scheduler, then the backend server,
// retries where they are allowed, and the answer.
class call_desk : public scheduler_outlet, public key_outlet {
public:
    call_desk(member_id self, kernel::timer_service& timers,
              io::http_client& client, io::message_hub& hub,
              entry_metrics& metrics, call_desk_outlet& outlet);

    // A caller's request.
    void take(io::http_request request, io::http_responder respond);
    // A newer view: every service's scheduler and the keys follow it.
    void take(const view_ptr& view);
    // A peer's scheduler message.
    void take(const incoming_grant_message& message);
    void take(const decision::peer_reachability& reach);

    // Calls that have no answer yet.
    std::size_t open_calls() const { return calls_.size(); }
    // From now on answers ask callers to close their connections.
    void begin_stop() { stopping_ = true; }

    void start(const std::string& service,
               const decision::start_request& action) override;
    void refuse(const decision::refuse_request& action) override;
    void expire(const decision::expire_request& action) override;
    void send(const outgoing_grant_message& message) override;
    void settle(decision::waiter_id waiter,
                const decision::key_decision& decision) override;

private:
    struct settle_call;

    call_record* find(decision::request_id id);
    void admit(call_record& call, const caller_call& understood);
    void queue_attempt(call_record& call);
    void arm_deadline(call_record& call);
    void pass_deadline(decision::request_id id);
    void take_result(decision::request_id id, const std::string& service,
                     io::http_call_result ended);
    bool may_retry(const call_record& call, const backend_answer& answer) const;
    void finish(decision::request_id id, run_outcome outcome,
                io::http_response answer);
    void finish(decision::request_id id, const own_answer& answer);
    service_desk& desk_of(const std::string& service);
    const backend_server* find_backend(const std::string& service,
                                       const std::string& name) const;
    void answer(const io::http_responder& respond,
                io::http_response response) const;

    member_id self_;
    kernel::timer_service& timers_;
    io::http_client& client_;
    entry_metrics& metrics_;
    call_desk_outlet& outlet_;
    key_desk keys_;
    view_ptr view_;
    std::map<std::string, std::unique_ptr<service_desk>> desks_;
    std::map<std::string, bool> reachable_; // peers, by member name
    decision::request_id next_id_ = 1;
    std::unordered_map<decision::request_id, call_record> calls_;
    std::unordered_map<decision::request_id,
                       kernel::timer_service::subscription>
        deadlines_;
    bool stopping_ = false;
};

} // namespace waxwingvale::entry
