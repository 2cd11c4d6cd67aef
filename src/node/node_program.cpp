#include "node/node_program.hpp"

#include <utility>

#include <waxwingvale/program/incarnation.hpp>
#include <waxwingvale/program/service_name.hpp>

namespace waxwingvale::node {

namespace {

// Configuration files pass between instances whole.
constexpr std::size_t message_limit = 4 * 1024 * 1024; // bytes

io::message_hub_options hub_options(const program::settings& settings) {
    io::message_hub_options options;
    options.self_name = settings.instance.name;
    options.shared_key = settings.peers.shared_key;
    options.message_limit = message_limit;
    options.outgoing_limit = 2 * message_limit;
    return options;
}

membership::member_record self_record(const program::settings& settings,
                                      const member_id& self) {
    membership::member_record record;
    record.id = {self.name, 0}; // its life is started by the control service
    record.data_centre = settings.instance.data_centre;
    record.capacity = settings.instance.capacity;
    record.addresses.host = settings.instance.host;
    record.addresses.caller_port = settings.entry.caller_port;
    record.addresses.steer_port = settings.steer.steer_port;
    record.addresses.control_port = settings.control.control_port;
    return record;
}

} // namespace

node_program::node_program(const program::program_environment& environment,
                           node_protocols protocols)
    : environment_(environment),
      protocols_(std::move(protocols)),
      self_{environment.settings.instance.name, program::fresh_incarnation()},
      hub_(environment.loop, environment.timers,
           hub_options(environment.settings)) {
    auto& services = environment.services;
    services.provide(program::service_name::bus, bus_).value();
    services.provide(program::service_name::peers, hub_).value();
    entry_ = std::make_unique<entry::entry_service>(environment_, self_,
                                                    *protocols_.requests);
    steer_ = std::make_unique<steer::steer_service>(environment_,
                                                    *protocols_.steering);
}

result<program::port_map> node_program::start() {
    const auto& settings = environment_.settings;
    program::port_map ports;
    auto listening =
        hub_.listen(settings.instance.host, settings.control.control_port);
    if (!listening) {
        return listening.error();
    }
    ports["peers"] = hub_.port();
    for (const auto& served : {entry_->start(), steer_->start()}) {
        if (!served) {
            return served.error();
        }
    }
    ports["callers"] = entry_->port();
    ports["steer"] = steer_->port();
    auto record = self_record(settings, self_);
    record.addresses.caller_port = entry_->port();
    record.addresses.steer_port = steer_->port();
    record.addresses.control_port = hub_.port();
    control_ = std::make_unique<control::control_service>(
        environment_, std::move(record), self_.incarnation,
        *protocols_.published);
    auto controlling = control_->start();
    if (!controlling) {
        return controlling.error();
    }
    ports.insert(controlling.value().begin(), controlling.value().end());
    auto metrics = program::serve_metrics(
        environment_, settings.instance.metrics_port, ports);
    if (!metrics) {
        return metrics.error();
    }
    metrics_endpoint_ = std::move(metrics.value());
    return ports;
}

// Callers are told first, by the peers that answer for us, then what is in
// flight is finished, then the links go.
void node_program::stop(std::function<void()> stopped) {
    control_->leave();
    entry_->stop([this, stopped = std::move(stopped)] {
        steer_->stop([this, stopped] { control_->stop(stopped); });
    });
}

} // namespace waxwingvale::node
