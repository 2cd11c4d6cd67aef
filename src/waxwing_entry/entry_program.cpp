#include "waxwing_entry/entry_program.hpp"

#include <algorithm>
#include <utility>
#include <waxwingvale/io/control_messages.hpp>
#include <waxwingvale/program/incarnation.hpp>
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
      feed_(hub_, environment.timers, bus_, environment.settings),
      calls_(self_, environment.timers, backend_servers_, hub_, metrics_,
             *this) {}

entry_program::~entry_program() = default;

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
    if (settings.entry.metrics_port) {
        metrics_endpoint_ = std::make_unique<program::metrics_endpoint>(
            environment_.loop, environment_.metrics, settings.instance.host,
            *settings.entry.metrics_port);
        auto metrics = metrics_endpoint_->start();
        if (!metrics) {
            return metrics.error();
        }
        ports["metrics"] = metrics_endpoint_->port();
    }
    return ports;
}

void entry_program::wire_peers() {
    bus_.subscribe<program::view_arrived>(
        [this](const program::view_arrived& arrived) {
            follow_members(*arrived.now);
            calls_.take(arrived.now);
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

void entry_program::follow_link(const std::string& peer, bool up) {
    if (peer == control_name_ && up) {
        announce_self();
        return;
    }
    const auto instance = instance_of(peer);
    if (!instance.empty()) {
        calls_.take(decision::peer_reachability{instance, up});
    }
}

// This process alone remembers request keys, so its incarnation is the one
// that keys must name: control makes it the member's.
void entry_program::announce_self() {
    hub_.send(control_name_, io::entry_life_kind,
              io::encode(io::entry_life{self_.incarnation}));
}

void entry_program::observe(const std::string& backend_server,
                            const backend_answer& answer) {
    auto seen = answer.state;
    if (answer.end == attempt_end::not_sent) {
        seen = backend_state::dead;
    }
    if (!seen || *seen == backend_state::serving) {
        return;
    }
    const auto now = environment_.timers.now();
    backend_belief belief;
    belief.backend_server = backend_server;
    belief.incarnation = answer.incarnation;
    belief.state = *seen;
    belief.source = belief_source::traffic;
    belief.observer = self_.name;
    belief.since = now;
    hub_.send(control_name_, io::belief_kind,
              io::encode(io::belief_report{{belief}}, now));
}

void entry_program::ask_for_fresh_view() {
    announce_self();
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
