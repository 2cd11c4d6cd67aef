#include "entry/entry_service.hpp"

#include <algorithm>
#include <utility>
#include <waxwingvale/entry/backend_seen.hpp>
#include <waxwingvale/entry/reach_changed.hpp>
#include <waxwingvale/entry/requests_refused.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/state_log.hpp>
#include <waxwingvale/program/view_published.hpp>

#include "entry/connection_limits.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_period = 20ms;
// Before the end of a stop, for the last answers to go out and for peers to
// hear of the end: a part of its time, and no more than so much.
constexpr int last_answers_part = 8;
constexpr duration last_answers_most = 1s;

forwarding::caller_server_options
caller_options(const program::program_environment& environment) {
    return program::server_options(environment,
                                   environment.settings.entry.caller_port,
                                   environment.plan.callers);
}

forwarding::caller_server_options
peer_options(const program::program_environment& environment) {
    return program::server_options(environment,
                                   environment.settings.entry.first_detour_port,
                                   environment.plan.detours);
}

// Before a configuration is known nobody can say what is too large: such a
// request is answered like all others, and can come again.
caller_limits limits_before_configuration() {
    constexpr std::size_t longest_head = 128UL * 1024;              // bytes
    constexpr std::uint64_t longest_body = std::uint64_t{1} << 40U; // bytes
    caller_limits limits;
    limits.head = longest_head;
    limits.body = longest_body;
    return limits;
}

caller_limits limits_of(const program::settings& from) {
    caller_limits limits;
    limits.body = from.entry.body_limit;
    return limits;
}

} // namespace

entry_service::entry_service(const program::program_environment& environment,
                             member_id self, const request_protocol& protocol)
    : environment_(environment),
      self_(std::move(self)),
      metrics_(environment.metrics),
      ends_("request_ended", "waxwing_requests_ended_total",
            environment.metrics, [this] { calls_.arm_log(); }),
      detour_ends_("detoured_request_ended",
                   "waxwing_detoured_requests_ended_total", environment.metrics,
                   [this] { calls_.arm_log(); }),
      bus_(environment.services.need<kernel::message_bus>(
          program::service_name::bus)),
      hub_(environment.services.need<io::message_hub>(
          program::service_name::peers)),
      callers_(environment.loop, environment.timers,
               caller_options(environment)),
      peers_(environment.loop, environment.timers, peer_options(environment)),
      pool_(environment.loop, environment.timers),
      peer_pool_(environment.loop, environment.timers),
      terms_log_(environment.timers, metrics_.limits_named,
                 metrics_.limited_servers, metrics_.rests_asked),
      malformed_log_(environment.timers, environment.metrics),
      reach_(protocol, environment.timers, pool_, hub_, metrics_.partitioned,
             metrics_.reach_checks),
      detours_(self_.name, environment.timers, peer_pool_,
               detour_token(environment.settings.peers.shared_key)),
      calls_(self_, protocol, environment.loop, environment.timers, pool_, hub_,
             metrics_, reach_, detours_, *this),
      prober_(self_.name, protocol, environment.timers, pool_, metrics_.probes,
              reach_, *this) {
    if (environment.guard) {
        const auto& account = environment.guard->account();
        pool_.charge_to(account);
        peer_pool_.charge_to(account);
        calls_.charge_to(account);
    }
    callers_.change_limits(limits_before_configuration());
    // What a peer hands on has kept the limits there.
    peers_.change_limits(limits_before_configuration());
    reach_.on_change([this](bool partitioned) { follow_reach(partitioned); });
    calls_.on_refused([this](const std::vector<std::uint64_t>& fingerprints) {
        bus_.publish(requests_refused{fingerprints});
    });
    callers_.on_request_ended([this](const forwarding::ended_request& ended) {
        ends_.record(ended);
    });
    peers_.on_request_ended([this](const forwarding::ended_request& ended) {
        detour_ends_.record(ended);
    });
    pool_.on_malformed([this](const forwarding::malformed_bytes& found) {
        malformed_log_.record(found);
    });
    wire_peers();
}

result<void> entry_service::start() {
    listen_to_peers();
    return callers_.start([this](forwarding::caller_exchange_ptr caller) {
        calls_.take(std::move(caller));
    });
}

// Without it callers are served all the same, only partitioned peers are not.
void entry_service::listen_to_peers() {
    const auto& from = environment_.settings.entry;
    const auto metrics_port =
        environment_.settings.instance.metrics_port.value_or(0);
    const auto on_request = [this](forwarding::caller_exchange_ptr peer) {
        calls_.take_detoured(std::move(peer));
    };
    for (unsigned port = from.first_detour_port; port <= from.last_detour_port;
         ++port) {
        const bool taken = port != 0 && port == metrics_port;
        if (!taken &&
            peers_.start(on_request, static_cast<std::uint16_t>(port))) {
            return;
        }
    }
    program::log_warning(
        "detours_not_taken",
        {{"first_port", std::to_string(from.first_detour_port)},
         {"last_port", std::to_string(from.last_detour_port)}});
}

// Those whom the others must know first: owners change, and callers are named
// other addresses.
void entry_service::follow_reach(bool partitioned) {
    bus_.publish(reach_changed{partitioned});
    calls_.follow_reach(partitioned);
}

void entry_service::wire_peers() {
    bus_.subscribe<program::view_published>(
        [this](const program::view_published& published) { take(published); });
    hub_.on_message(grant_kind, [this](const std::string& peer,
                                       const std::vector<std::uint8_t>& bytes) {
        const auto message = decode_grant_message(peer, bytes);
        if (message) {
            calls_.take(message.value());
        }
    });
    hub_.on_link_change(
        [this](const std::string& peer, bool up) { follow_link(peer, up); });
}

void entry_service::take(const program::view_published& published) {
    const auto& view = published.now;
    const bool other_servers =
        view->config && (!view_ || view_->config != view->config);
    if (other_servers) {
        for (const auto& name : starts_.follow(*view->config)) {
            pool_.forget(name);
        }
        terms_log_.retain(*view->config);
    }
    view_ = view;
    const auto limits = connection_limits_of(*view);
    pool_.limit_connections(limits.open, limits.idle);
    if (view->config) {
        callers_.change_limits(
            view->config->limits.value_or(limits_of(environment_.settings)));
    }
    reach_.follow(view);
    calls_.take(published);
    prober_.take(published);
}

void entry_service::follow_link(const std::string& peer, bool up) {
    calls_.take(decision::peer_reachability{peer, up});
    prober_.change_links(hub_.connected_peers().size());
}

void entry_service::observe(const std::string& backend_server,
                            const backend_answer& answer) {
    report(backend_server, answer, belief_source::traffic);
}

std::vector<std::string>
entry_service::servers_to_probe(const std::string& service) {
    return calls_.servers_to_probe(service);
}

bool entry_service::may_probe(const std::string& service,
                              const std::string& backend_server) {
    return calls_.may_probe(service, backend_server);
}

void entry_service::on_probe_sent(const std::string& service,
                                  const std::string& backend_server) {
    terms_log_.record_probe(backend_server);
    calls_.take(service, decision::probe_started{backend_server});
}

void entry_service::on_probe(const std::string& service,
                             const std::string& backend_server, time_point sent,
                             const backend_answer& answer) {
    calls_.take_probe_sign({backend_server, answer.incarnation, sent, answer});
    report(backend_server, answer, belief_source::probe);
    decision::probe_ended ended;
    ended.backend_server = backend_server;
    ended.answered = answer.end == attempt_end::answered ||
                     answer.end == attempt_end::failed ||
                     answer.end == attempt_end::not_started;
    ended.load = answer.load;
    ended.cold_for = answer.cold_for;
    ended.terms = answer.terms;
    calls_.take(service, ended);
}

// Only what an answer proves becomes word for all: what the server said of
// itself, or that nothing listens there. A lost answer is local evidence and
// stays with the scheduler.
void entry_service::report(const std::string& backend_server,
                           const backend_answer& answer, belief_source source) {
    if (answer.terms) {
        terms_log_.record_terms(backend_server, *answer.terms, source);
    }
    const auto seen = state_for_all(answer);
    if (!seen || !is_change(backend_server, answer.incarnation, *seen)) {
        return;
    }
    backend_belief belief;
    belief.backend_server = backend_server;
    belief.incarnation = answer.incarnation;
    belief.state = *seen;
    belief.source = source;
    belief.observer = self_.name;
    belief.since = environment_.timers.now();
    bus_.publish(backend_seen{belief});
}

// Whether it differs from what the last view already holds.
bool entry_service::is_change(const std::string& backend_server,
                              std::uint64_t incarnation,
                              backend_state seen) const {
    const auto& now = view_;
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

void entry_service::send_to_peer(const outgoing_grant_message& message) {
    hub_.send(peer_of(message), grant_kind, encode(message));
}

void entry_service::stop(std::function<void()> stopped) {
    stopped_ = std::move(stopped);
    callers_.ask_to_close();
    peers_.ask_to_close();
    const auto drain = environment_.settings.instance.drain_timeout;
    const auto last_answers =
        std::min(drain / last_answers_part, last_answers_most);
    calls_.end_by(environment_.timers.now() + drain - last_answers);
    leave_notice_ = environment_.timers.after(
        environment_.settings.instance.leave_notice, [this](time_point) {
            callers_.stop_accepting();
            peers_.stop_accepting();
            drain_check_ = environment_.timers.every(
                drain_check_period, [this](time_point) { check_drained(); });
        });
}

// An end with a connection still open would cut whatever its caller sends at
// that moment.
void entry_service::check_drained() {
    callers_.close_idle();
    peers_.close_idle();
    const auto pending = callers_.pending() + peers_.pending();
    const auto connections = callers_.connections() + peers_.connections();
    if (calls_.open_calls() == 0 && pending == 0 && connections == 0) {
        drain_check_.cancel();
        stopped_();
    }
}

} // namespace waxwingvale::entry
