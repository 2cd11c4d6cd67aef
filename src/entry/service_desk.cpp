#include "entry/service_desk.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::entry {

service_desk::service_desk(std::string service, member_id self,
                           kernel::timer_service& timers,
                           scheduler_outlet& outlet)
    : service_(service),
      timers_(timers),
      outlet_(outlet),
      scheduler_(std::move(service), std::move(self)) {}

void service_desk::handle(const decision::scheduler_event& event) {
    // Not a member: an action may lead to the next event before this returns.
    std::vector<decision::scheduler_action> actions;
    scheduler_.handle(event, timers_.now(), actions);
    for (const auto& action : actions) {
        std::visit([this](const auto& one) { carry_out(one); }, action);
    }
}

void service_desk::carry_out(const decision::start_request& action) {
    outlet_.start(service_, action);
}

void service_desk::carry_out(const decision::refuse_request& action) {
    outlet_.refuse(action);
}

void service_desk::carry_out(const decision::expire_request& action) {
    outlet_.expire(action);
}

void service_desk::carry_out(const decision::wake_at& action) {
    const auto delay = std::max(action.when - timers_.now(), duration::zero());
    wake_ = timers_.after(
        delay, [this](time_point) { handle(decision::time_passed{}); });
}

template <typename ForPeer>
void service_desk::carry_out(const ForPeer& action) {
    outlet_.send({service_, action});
}

} // namespace waxwingvale::entry
