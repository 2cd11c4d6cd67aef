#include "steer/steer_service.hpp"

#include <utility>
#include <waxwingvale/program/incarnation.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/view_published.hpp>

namespace waxwingvale::steer {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_period = 5ms;
// Askings are a line and a few headers, and all callers may ask at once.
constexpr std::size_t connection_memory = 8 * 1024;
// 128 instances that start together, most on a tenth of a core, have all found
// one another after 3.7 s (from their logs).
constexpr duration knows_few_for = 5s;
// How long an answer is kept meanwhile, which may name few instances or weak
// ones.
constexpr duration keep_of_few = 1s;

io::http_server_options caller_options(const program::settings& from) {
    io::http_server_options options;
    options.address = from.instance.host;
    options.port = from.steer.steer_port;
    options.connection_limit = from.steer.connection_limit;
    options.connection_memory = connection_memory;
    return options;
}

} // namespace

steer_service::steer_service(const program::program_environment& environment,
                             steering_protocol& protocol)
    : environment_(environment),
      protocol_(protocol),
      asked_(environment.metrics.add_counter("waxwing_addresses_asked_total",
                                             "Callers' askings.")),
      callers_(environment.loop, caller_options(environment.settings)) {
    environment.services.need<kernel::message_bus>(program::service_name::bus)
        .subscribe<program::view_published>(
            [this](const program::view_published& published) {
                protocol_.take(published);
            });
}

result<void> steer_service::start() {
    started_ = environment_.timers.now();
    return callers_.start(
        [this](io::http_request request, io::http_responder respond) {
            asked_.add();
            // The wall clock is what an incarnation is made of.
            asking when{++askings_, program::fresh_incarnation(), {}};
            if (environment_.timers.now() - started_ < knows_few_for) {
                when.keep_at_most = keep_of_few;
            }
            auto answer = protocol_.answer(request, when);
            // A caller asks again after seconds; meanwhile its connection would
            // hold 32 kB here, and a fleet that wakes together fills the
            // memory.
            answer.headers.push_back({"Connection", "close"});
            respond(std::move(answer));
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
