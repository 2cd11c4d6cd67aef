#include "waxwing_entry/entry_program.hpp"

#include <algorithm>
#include <utility>
#include <waxwingvale/io/control_messages.hpp>
#include <waxwingvale/program/incarnation.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/state_log.hpp>

#include "waxwing_entry/peer_name.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_period = 5ms;
constexpr std::size_t connections_per_backend_server = 256;
constexpr std::size_t connections_to_backend_servers = 8192;

io::message_hub_options hub_options(const program::settings& from) {
    io::message_hub_options options;
    options.self_name = entry_process(from.instance.name);
    options.shared_key = from.peers.shared_key;
    return options;
}

io::http_server_options caller_options(const program::settings& from) {
    io::http_server_options options;
    options.address = from.instance.host;
    options.port = from.entry.caller_port;
    options.body_limit = from.entry.body_limit;
    options.connection_limit = from.entry.connection_limit;
    return options;
}

io::http_client::limits client_limits(const program::settings& from) {
    io::http_client::limits limits;
    limits.connections_per_host = connections_per_backend_server;
    limits.connections_total = connections_to_backend_servers;
    limits.response_body = from.entry.body_limit;
    return limits;
}

} // namespace

entry_program::entry_program(const program::program_environment& environment)
    : environment_(environment),
      self_{environment.settings.instance.name, program::fresh_incarnation()},
      control_name_(self_.name + "/control"),
      metrics_(environment.metrics),
      hub_(environment.loop, environment.timers,
           hub_options(environment.settings)),
      callers_(environment.loop, caller_options(environment.settings)),
      backend_servers_(environment.loop, client_limits(environment.settings)),
      feed_(provide_parts(), environment.settings),
      calls_(self_, environment.timers, backend_servers_, hub_, metrics_,
             *this),
      prober_(self_.name, environment.services, metrics_.probes,
              [this](const std::string& server, const backend_answer& answer) {
                  report(server, answer, belief_source::probe);
              }),
      wake_(environment.loop, [this] { calls_.notice_late_wakeup(); }) {}

entry_program::~entry_program() = default;

const kernel::service_registry& entry_program::provide_parts() {
    auto& services = environment_.services;
    services.provide(program::service_name::bus, bus_).value();
    services.provide(program::service_name::peers, hub_).value();
    services.provide(program::service_name::backend_client, backend_servers_)
        .value();
    return services;
}

result<program::port_map> entry_program::start() {
    const auto& settings = environment_.settings;
    program::port_map ports;
    wire_peers();
    auto listening =
        hub_.listen(settings.instance.host, settings.entry.entry_port);
    if (!listening) {
        return listening.error();
    }
    ports["peers"] = hub_.port();
    auto serving = callers_.start(
        [this](io::http_request request, io::http_responder respond) {
            calls_.take(std::move(request), std::move(respond));
        });
    if (!serving) {
        return serving.error();
    }
    ports["callers"] = callers_.port();
    auto metrics = program::serve_metrics(environment_,
                                          settings.entry.metrics_port, ports);
    if (!metrics) {
        return metrics.error();
    }
    metrics_endpoint_ = std::move(metrics.value());
    return ports;
}

void entry_program::wire_peers() {
    bus_.subscribe<program::view_arrived>(
        [this](const program::view_arrived& arrived) {
            follow_members(*arrived.now);
            limit_connections(*arrived.now);
            calls_.take(arrived.now);
            prober_.take(arrived.now);
        });
    hub_.on_message(grant_kind, [this](const std::string& peer,
                                       const std::vector<std::uint8_t>& bytes) {
        const auto instance = instance_of(peer);
        const auto message = decode_grant_message(instance, bytes);
        if (!instance.empty() && message) {
            calls_.take(message.value());
        }
    });
    hub_.on_link_change(
        [this](const std::string& peer, bool up) { follow_link(peer, up); });
}

// Links to the entry processes of all members; of two instances the one with
// the smaller name connects.
void entry_program::follow_members(const view& now) {
    for (const auto& other : now.members) {
        const bool ours_to_open =
            self_.name < other.id.name && other.state != member_state::gone;
        if (ours_to_open) {
            hub_.connect(entry_process(other.id.name), other.addresses.host,
                         other.addresses.entry_port);
        }
    }
}

// The file's limit of connections to a backend server is for all entry
// instances together; each takes an equal part of the tightest.
void entry_program::limit_connections(const view& now) {
    if (!now.config || now.members.empty()) {
        return;
    }
    std::size_t tightest = connections_per_backend_server;
    for (const auto& of : now.config->services) {
        for (const auto& server : of.backend_servers) {
            tightest = std::min<std::size_t>(tightest, server.connections);
        }
    }
    const auto part = tightest / now.members.size();
    backend_servers_.limit_connections_per_host(std::max<std::size_t>(part, 1));
}

void entry_program::follow_link(const std::string& peer, bool up) {
    if (peer == control_name_ && up) {
        announce_self(calls_.notice_late_wakeup());
        return;
    }
    const auto instance = instance_of(peer);
    if (instance.empty()) {
        return;
    }
    calls_.take(decision::peer_reachability{instance, up});
    const auto peers = hub_.connected_peers();
    const auto links =
        std::count_if(peers.begin(), peers.end(), [](const std::string& name) {
            return !instance_of(name).empty();
        });
    prober_.change_links(static_cast<std::size_t>(links));
}

// This process alone remembers request keys, so its incarnation is the one
// that keys must name: control makes it the member's.
void entry_program::announce_self(std::uint64_t ask) {
    hub_.send(control_name_, io::entry_life_kind,
              io::encode(io::entry_life{self_.incarnation, ask}));
}

void entry_program::observe(const std::string& backend_server,
                            const backend_answer& answer) {
    report(backend_server, answer, belief_source::traffic);
}

// Only what an answer proves becomes word for all: what the server said of
// itself, or that nothing listens there. A lost answer is local evidence and
// stays with the scheduler.
void entry_program::report(const std::string& backend_server,
                           const backend_answer& answer, belief_source source) {
    auto seen = answer.state;
    if (answer.end == attempt_end::not_sent) {
        seen = backend_state::dead;
    }
    if (!seen || !is_change(backend_server, answer.incarnation, *seen)) {
        return;
    }
    const auto now = environment_.timers.now();
    backend_belief belief;
    belief.backend_server = backend_server;
    belief.incarnation = answer.incarnation;
    belief.state = *seen;
    belief.source = source;
    belief.observer = self_.name;
    belief.since = now;
    hub_.send(control_name_, io::belief_kind,
              io::encode(io::belief_report{{belief}}, now));
}

// Whether it differs from what the last view already holds.
bool entry_program::is_change(const std::string& backend_server,
                              std::uint64_t incarnation,
                              backend_state seen) const {
    const auto& now = feed_.current();
    if (!now) {
        return false;
    }
    const auto known = std::find_if(
        now->beliefs.begin(), now->beliefs.end(), [&](const backend_belief& b) {
            return b.backend_server == backend_server;
        });
    if (known == now->beliefs.end()) {
        return seen != backend_state::serving;
    }
    const bool other_life =
        incarnation != 0 && incarnation != known->incarnation;
    return other_life || known->state != seen;
}

void entry_program::ask_for_fresh_view(std::uint64_t ask) {
    announce_self(ask);
}

void entry_program::send_to_peer(const outgoing_grant_message& message) {
    hub_.send(entry_process(peer_of(message)), grant_kind, encode(message));
}

void entry_program::stop(std::function<void()> stopped) {
    stopped_ = std::move(stopped);
    callers_.stop_accepting();
    calls_.begin_stop();
    drain_check_ = environment_.timers.every(
        drain_check_period, [this](time_point) { check_drained(); });
}

void entry_program::check_drained() {
    if (calls_.open_calls() == 0 && callers_.pending() == 0) {
        drain_check_.cancel();
        stopped_();
    }
}

} // namespace waxwingvale::entry
