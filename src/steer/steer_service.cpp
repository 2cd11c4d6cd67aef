#include "steer/steer_service.hpp"

#include <utility>
#include <waxwingvale/program/incarnation.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/view_published.hpp>

namespace waxwingvale::steer {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_period = 5ms;
// 128 instances that start together, most on a tenth of a core, have all found
// one another after 3.7 s (from their logs).
constexpr duration knows_few_for = 5s;
// How long an answer is kept meanwhile, which may name few instances or weak
// ones.
constexpr duration keep_of_few = 1s;

} // namespace

steer_service::steer_service(const program::program_environment& environment,
                             steering_protocol& protocol)
    : environment_(environment),
      protocol_(protocol),
      asked_(environment.metrics.add_counter("waxwing_addresses_asked_total",
                                             "Callers' askings.")),
      callers_(environment.loop, environment.timers,
               program::server_options(environment,
                                       environment.settings.steer.steer_port,
                                       environment.plan.steer)) {
    callers_.change_limits(forwarding::small_requests());
    // A caller asks again after seconds; meanwhile its connection would take
    // the place of another's.
    callers_.ask_to_close();
    environment.services.need<kernel::message_bus>(program::service_name::bus)
        .subscribe<program::view_published>(
            [this](const program::view_published& published) {
                protocol_.take(published);
            });
}

result<void> steer_service::start() {
    started_ = environment_.timers.now();
    return callers_.start(
        [this](const forwarding::caller_exchange_ptr& caller) {
            asked_.add();
            // The wall clock is what an incarnation is made of.
            asking when{++askings_, program::fresh_incarnation(), {}};
            if (environment_.timers.now() - started_ < knows_few_for) {
                when.keep_at_most = keep_of_few;
            }
            caller->answer(protocol_.answer(caller->request(), when));
        });
}

void steer_service::stop(std::function<void()> stopped) {
    callers_.stop_accepting();
    drain_check_ = environment_.timers.every(
        drain_check_period, [this, stopped = std::move(stopped)](time_point) {
            if (callers_.pending() == 0) {
                drain_check_.cancel();
                stopped();
            }
        });
}

} // namespace waxwingvale::steer
