#include <waxwingvale/node/node_program.hpp>

#include <utility>

#include "control/control_service.hpp"
#include "entry/entry_service.hpp"
#include "steer/steer_service.hpp"
#include <waxwingvale/forwarding/caller_server.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/message_bus.hpp>

#include <waxwingvale/program/incarnation.hpp>
#include <waxwingvale/program/service_name.hpp>

namespace waxwingvale::node {

namespace {

// Configuration files pass between instances whole.
constexpr std::size_t message_limit = 4 * 1024 * 1024; // bytes

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

io::message_hub_options
hub_options(const program::program_environment& environment) {
    const auto& settings = environment.settings;
    io::message_hub_options options;
    if (environment.plan.unproven_peers > 0) {
        options.unproven_limit = environment.plan.unproven_peers;
    }
    options.self_name = settings.instance.name;
    options.shared_key = settings.peers.shared_key;
    options.message_limit = message_limit;
    options.outgoing_limit = 2 * message_limit;
    return options;
}

membership::member_record self_record(const program::settings& settings) {
    membership::member_record record;
    record.id.name = settings.instance.name;
    record.data_centre = settings.instance.data_centre;
    record.capacity = settings.instance.capacity;
    record.addresses.host = settings.instance.host;
    return record;
}

} // namespace

struct node_program::state {
    state(const program::program_environment& with, node_protocols speaking)
        : environment(with),
          protocols(std::move(speaking)),
          self{with.settings.instance.name, program::fresh_incarnation()},
          hub(with.loop, with.timers, hub_options(with)) {}

    result<void> start_readiness(program::port_map& ports);

    program::program_environment environment;
    node_protocols protocols;
    member_id self;
    kernel::message_bus bus;
    io::message_hub hub;
    std::unique_ptr<entry::entry_service> entry;
    std::unique_ptr<steer::steer_service> steer;
    std::unique_ptr<control::control_service> control;
    std::unique_ptr<forwarding::caller_server> readiness;
    std::unique_ptr<program::metrics_endpoint> metrics;
    bool stopping = false;
};

// Whether callers can be served here: a configuration is in force, and the
// instance is not leaving.
result<void> node_program::state::start_readiness(program::port_map& ports) {
    const auto& settings = environment.settings.instance;
    if (!settings.ready_port) {
        return success();
    }
    readiness = std::make_unique<forwarding::caller_server>(
        environment.loop, environment.timers,
        program::server_options(environment, *settings.ready_port,
                                environment.plan.probes));
    readiness->change_limits(forwarding::small_requests());
    auto started =
        readiness->start([this](const forwarding::caller_exchange_ptr& caller) {
            const bool known = caller->request().target == protocols.ready_path;
            const bool ready = entry->ready() && !stopping;
            caller->answer({!known  ? status_not_found
                            : ready ? status_ok
                                    : status_unavailable,
                            {},
                            ""});
        });
    if (started) {
        ports["ready"] = readiness->port();
    }
    return started;
}

node_program::node_program(const program::program_environment& environment,
                           node_protocols protocols)
    : state_(std::make_unique<state>(environment, std::move(protocols))) {
    auto& services = environment.services;
    services.provide(program::service_name::bus, state_->bus).value();
    services.provide(program::service_name::peers, state_->hub).value();
    state_->entry = std::make_unique<entry::entry_service>(
        environment, state_->self, *state_->protocols.requests);
    state_->steer = std::make_unique<steer::steer_service>(
        environment, *state_->protocols.steering);
}

node_program::~node_program() = default;

result<program::port_map> node_program::start() {
    const auto& environment = state_->environment;
    const auto& settings = environment.settings;
    program::port_map ports;
    auto listening = state_->hub.listen(settings.instance.host,
                                        settings.control.control_port);
    if (!listening) {
        return listening.error();
    }
    for (const auto& served : {state_->entry->start(), state_->steer->start(),
                               state_->start_readiness(ports)}) {
        if (!served) {
            return served.error();
        }
    }
    ports["peers"] = state_->hub.port();
    ports["callers"] = state_->entry->port();
    ports["steer"] = state_->steer->port();
    auto record = self_record(settings);
    record.addresses.caller_port = state_->entry->port();
    record.addresses.detour_port = state_->entry->detour_port();
    record.addresses.steer_port = state_->steer->port();
    record.addresses.control_port = state_->hub.port();
    state_->control = std::make_unique<control::control_service>(
        environment, std::move(record), state_->self.incarnation,
        *state_->protocols.published);
    auto controlling = state_->control->start();
    if (!controlling) {
        return controlling.error();
    }
    ports.insert(controlling.value().begin(), controlling.value().end());
    auto metrics = program::serve_metrics(
        environment, settings.instance.metrics_port, ports);
    if (!metrics) {
        return metrics.error();
    }
    state_->metrics = std::move(metrics.value());
    return ports;
}

void node_program::reload(const program::settings& changed) {
    state_->protocols.steering->reload(changed);
    state_->protocols.published->reload(changed);
    state_->control->reload(changed);
}

// Callers are told first, by the peers that answer for us, then what is in
// flight is finished, then the links go.
void node_program::stop(std::function<void()> stopped) {
    state_->stopping = true;
    state_->control->leave();
    state_->entry->stop([this, stopped = std::move(stopped)] {
        state_->steer->stop(
            [this, stopped] { state_->control->stop(stopped); });
    });
}

} // namespace waxwingvale::node
