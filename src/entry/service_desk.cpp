#include "entry/service_desk.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::entry {

using namespace std::chrono_literals;

service_desk::service_desk(std::string service, member_id self,
                           time_point process_began,
                           kernel::timer_service& timers,
                           scheduler_outlet& outlet)
    : service_(service),
      timers_(timers),
      outlet_(outlet),
      scheduler_(std::move(service), std::move(self), {}, process_began) {}

void service_desk::handle(const decision::scheduler_event& event) {
    // Not a member: an action may lead to the next event before this returns.
    std::vector<decision::scheduler_action> actions;
    scheduler_.handle(event, timers_.now(), actions);
    for (const auto& action : actions) {
        std::visit([this](const auto& one) { carry_out(one); }, action);
    }
}

void service_desk::log_load() {
    const auto load = scheduler_.load(timers_.now());
    log_repeats(load);
    const auto refused = load.refused - refused_logged_;
    refused_logged_ = load.refused;
    if (refused == 0) {
        return;
    }
    program::log_change(
        "requests_turned_down",
        {{"service", service_},
         {"requests", std::to_string(refused)},
         {"owns_slots", load.owns_slots ? "yes" : "no"},
         {"queued", std::to_string(load.queued)},
         {"late", std::to_string(load.queued_late)},
         {"working_slots", std::to_string(load.working_slots)},
         {"prompt_slots", std::to_string(load.prompt_slots)},
         {"spare_slots", std::to_string(load.spare_slots)},
         {"busy_slots", std::to_string(load.busy_slots)},
         {"lent", std::to_string(load.lent_slots)},
         {"arrivals_per_second", std::to_string(load.arrivals_per_second)}});
}

void service_desk::log_repeats(const decision::scheduler_load& load) {
    const auto& now = load.repeats;
    const auto logged = std::exchange(repeats_logged_, now);
    const auto allowed = now.allowed - logged.allowed;
    const auto declined = now.declined - logged.declined;
    const auto uncounted = now.uncounted - logged.uncounted;
    if (allowed + declined + uncounted == 0) {
        return;
    }
    program::log_change("repeats_counted",
                        {{"service", service_},
                         {"allowed", std::to_string(allowed)},
                         {"declined", std::to_string(declined)},
                         {"uncounted", std::to_string(uncounted)},
                         {"owns_slots", load.owns_slots ? "yes" : "no"},
                         {"left", std::to_string(now.tokens)},
                         {"most_left", std::to_string(now.capacity)},
                         {"held_ms", std::to_string(now.held_for / 1ms)}});
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
