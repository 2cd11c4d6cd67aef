#include "waxwing_steer/steer_program.hpp"

#include <utility>
#include <waxwingvale/program/incarnation.hpp>
#include <waxwingvale/program/service_name.hpp>

namespace waxwingvale::steer {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_period = 5ms;
// Askings are a line and a few headers, and all callers may ask at once.
constexpr std::size_t connection_memory = 8 * 1024;

io::message_hub_options hub_options(const program::settings& from) {
    io::message_hub_options options;
    options.self_name = from.instance.name + "/steer";
    options.shared_key = from.peers.shared_key;
    return options;
}

io::http_server_options caller_options(const program::settings& from) {
    io::http_server_options options;
    options.address = from.instance.host;
    options.port = from.steer.steer_port;
    options.connection_limit = from.steer.connection_limit;
    options.connection_memory = connection_memory;
    return options;
}

} // namespace

steer_program::steer_program(const program::program_environment& environment)
    : environment_(environment),
      asked_(environment.metrics.add_counter("waxwing_addresses_asked_total",
                                             "Callers' askings.")),
      hub_(environment.loop, environment.timers,
           hub_options(environment.settings)),
      callers_(environment.loop, caller_options(environment.settings)),
      feed_(provide_parts(), environment.settings) {
    bus_.subscribe<program::view_arrived>(
        [this](const program::view_arrived& arrived) {
            desk_.take(arrived.now);
        });
}

const kernel::service_registry& steer_program::provide_parts() {
    auto& services = environment_.services;
    services.provide(program::service_name::bus, bus_).value();
    services.provide(program::service_name::peers, hub_).value();
    return services;
}

result<program::port_map> steer_program::start() {
    const auto& settings = environment_.settings;
    program::port_map ports;
    auto serving = callers_.start(
        [this](io::http_request request, io::http_responder respond) {
            asked_.add();
            // The wall clock is what an incarnation is made of.
            auto answer =
                desk_.answer(request, ++askings_, program::fresh_incarnation());
            // A caller asks again after seconds; meanwhile its connection would
            // hold 32 kB here, and a fleet that wakes together fills the
            // memory.
            answer.headers.push_back({"Connection", "close"});
            respond(std::move(answer));
        });
    if (!serving) {
        return serving.error();
    }
    ports["steer"] = callers_.port();
    auto metrics = program::serve_metrics(environment_,
                                          settings.steer.metrics_port, ports);
    if (!metrics) {
        return metrics.error();
    }
    metrics_endpoint_ = std::move(metrics.value());
    return ports;
}

void steer_program::stop(std::function<void()> stopped) {
    callers_.stop_accepting();
    drain_check_ = environment_.timers.every(
        drain_check_period, [this, stopped = std::move(stopped)](time_point) {
            if (callers_.pending() == 0) {
                stopped();
            }
        });
}

} // namespace waxwingvale::steer
