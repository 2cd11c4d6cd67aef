#pragma once

#include <string>
#include <vector>

#include <waxwingvale/decision/service_scheduler.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "entry/grant_message.hpp"

namespace waxwingvale::entry {

// Carries out what a service's scheduler decides.
class scheduler_outlet {
public:
    virtual ~scheduler_outlet() = default;
    virtual void start(const std::string& service,
                       const decision::start_request& action) = 0;
    virtual void refuse(const decision::refuse_request& action) = 0;
    virtual void expire(const decision::expire_request& action) = 0;
    virtual void send(const outgoing_grant_message& message) = 0;
};

// One service's scheduler with its clock and its timer: hands events in and
// the resulting actions to the outlet, in order.
class service_desk {
public:
    service_desk(std::string service, member_id self, time_point process_began,
                 kernel::timer_service& timers, scheduler_outlet& outlet);

    void handle(const decision::scheduler_event& event);
    const decision::service_scheduler& scheduler() const { return scheduler_; }

    // Logs by what requests were turned down since the last time, if any were.
    void log_load();

private:
    void log_repeats(const decision::scheduler_load& load);
    void carry_out(const decision::start_request& action);
    void carry_out(const decision::refuse_request& action);
    void carry_out(const decision::expire_request& action);
    void carry_out(const decision::wake_at& action);
    template <typename ForPeer>
    void carry_out(const ForPeer& action);

    std::string service_;
    kernel::timer_service& timers_;
    scheduler_outlet& outlet_;
    decision::service_scheduler scheduler_;
    std::uint64_t refused_logged_ = 0;
    decision::repeat_report repeats_logged_;
    kernel::timer_service::subscription wake_;
};

} // namespace waxwingvale::entry
