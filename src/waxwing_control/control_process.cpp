#include "waxwing_control/control_process.hpp"

#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "waxwing_control/snapshot.hpp"
#include <waxwingvale/model/configuration_file.hpp>
#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::control {

namespace {

constexpr const char* configuration_value = "configuration";
constexpr const char* instances_value = "instances";
constexpr duration flush_delay = std::chrono::milliseconds(2);
// Word of backend servers that no configuration names is kept this long: the
// configuration may be on its way.
constexpr duration unnamed_belief_keep = std::chrono::minutes(10);
// After "I am leaving" the links stay open so that it gets out.
constexpr duration leave_wait = std::chrono::milliseconds(300);
// The platform's values, and files that peers pass on, are as large as this.
constexpr std::size_t value_limit = 4 * configuration_size_limit;

std::uint64_t wall_clock_microseconds() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<duration>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::uint64_t random_seed() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

io::message_hub_options hub_options(const program::settings& settings) {
    io::message_hub_options options;
    options.self_name = process_name(settings.instance.name, control_role);
    options.shared_key = settings.peers.shared_key;
    options.message_limit = value_limit;
    return options;
}

io::platform_client_options
platform_options(const program::settings& settings) {
    io::platform_client_options options;
    options.host = settings.platform.host;
    options.port = settings.platform.port;
    options.seed = random_seed();
    return options;
}

io::http_client::limits client_limits() {
    io::http_client::limits limits;
    limits.response_body = value_limit;
    return limits;
}

membership::member_record self_record(const program::settings& settings,
                                      std::uint16_t control_port) {
    membership::member_record self;
    self.id.name = settings.instance.name;
    self.data_centre = settings.instance.data_centre;
    self.addresses.host = settings.instance.host;
    self.addresses.caller_port = settings.entry.caller_port;
    self.addresses.entry_port = settings.entry.entry_port;
    self.addresses.steer_port = settings.steer.steer_port;
    self.addresses.control_port = control_port;
    return self;
}

result<configuration> parse_published(const configuration_text& file) {
    return parse_configuration(file.text, configuration_value, file.revision);
}

std::set<std::string> named_backend_servers(const configuration& config) {
    std::set<std::string> names;
    for (const auto& each : config.services) {
        for (const auto& server : each.backend_servers) {
            names.insert(server.name);
        }
    }
    return names;
}

} // namespace

control_process::control_process(
    const program::program_environment& environment)
    : environment_(environment),
      incarnation_(wall_clock_microseconds()),
      hub_(environment.loop, environment.timers,
           hub_options(environment.settings)),
      client_(environment.loop, client_limits()),
      platform_(client_, environment.timers,
                platform_options(environment.settings)) {}

result<program::port_map> control_process::start() {
    const auto& settings = environment_.settings;
    const auto listening =
        hub_.listen(settings.instance.host, settings.control.control_port);
    if (!listening) {
        return listening.error();
    }
    auto& timers = environment_.timers;
    known_ = std::make_unique<knowledge>(self_record(settings, hub_.port()),
                                         parse_published, timers.now());
    local_ =
        std::make_unique<local_processes>(hub_, timers, *known_, incarnation_);
    peers_ = std::make_unique<peer_links>(hub_, timers, *known_,
                                          settings.peers.seeds, random_seed());
    metrics_ = std::make_unique<control_metrics>(
        environment_.metrics, hub_, platform_, *known_, *local_, *peers_);
    admin_ = std::make_unique<administration::admin_server>(
        environment_.loop, settings.control, environment_.metrics, [this] {
            return take_snapshot(*known_, *local_, hub_, platform_,
                                 environment_.timers.now());
        });
    const auto serving = admin_->start();
    if (!serving) {
        return serving.error();
    }
    local_->on_report([this] { changed(); });
    peers_->on_heard([this] { changed(); });
    wake_ = std::make_unique<kernel::wake_hook>(environment_.loop,
                                                [this] { on_wake(); });
    ticking_ =
        timers.every(tick_period, [this](time_point now) { on_tick(now); });
    watch_platform();
    changed();
    return program::port_map{{"peers", hub_.port()}, {"admin", admin_->port()}};
}

void control_process::watch_platform() {
    platform_.set_epoch(known_->fresh.epoch());
    platform_.on_state([this](bool answers, const error& why) {
        peers_->set_platform_answers(answers);
        if (answers) {
            program::log_change("platform_answers");
        } else {
            program::log_warning("platform_lost", {{"error", to_string(why)}});
        }
    });
    platform_.watch(configuration_value, [this](const auto& reading) {
        take_configuration(reading);
    });
    platform_.watch(instances_value,
                    [this](const auto& reading) { take_instances(reading); });
}

void control_process::hear_platform(const io::platform_reading& reading) {
    known_->fresh.hear_platform(reading.epoch);
    settle_freshness();
    changed();
}

void control_process::settle_freshness() {
    const bool has_peers = known_->members.members().size() > 1;
    known_->fresh.settle(has_peers, environment_.timers.now());
}

void control_process::take_configuration(const io::platform_reading& reading) {
    if (reading.changed) {
        known_->configurations.offer({reading.revision, reading.body});
    }
    hear_platform(reading);
}

void control_process::take_instances(const io::platform_reading& reading) {
    hear_platform(reading);
    if (!reading.changed) {
        return;
    }
    const auto list = io::parse_platform_list(reading);
    if (!list) {
        program::log_warning("platform_list_refused",
                             {{"error", to_string(list.error())}});
        return;
    }
    const auto now = environment_.timers.now();
    known_->members.take_platform_list(list.value().members, now);
    for (const auto& each : list.value().backend_servers) {
        known_->beliefs.observe(
            {each.name, each.incarnation,
             each.leaving ? backend_state::leaving : backend_state::serving,
             belief_source::platform_list, known_->members.self().id.name,
             now});
    }
}

void control_process::on_wake() {
    const auto now = environment_.timers.now();
    if (!known_->fresh.beat(now)) {
        return;
    }
    program::log_warning("late_wakeup",
                         {{"epoch", std::to_string(known_->fresh.epoch())}});
    // Entry first: until somebody has been heard nothing that must not run
    // twice may go out on what was known before.
    local_->publish(peers_->exchange().introduced());
    platform_.set_epoch(known_->fresh.epoch());
    platform_.read_again();
    peers_->woke_late(now);
    peers_->send_waiting();
}

void control_process::on_tick(time_point now) {
    peers_->tick(now);
    settle_freshness();
    local_->tick(now);
    platform_.set_share(membership::share_of(known_->members.members().size()));
    if (const auto config = known_->configurations.in_force()) {
        known_->beliefs.retain(named_backend_servers(*config),
                               unnamed_belief_keep, now);
    }
    metrics_->update();
    flush();
}

void control_process::changed() {
    if (flush_planned_) {
        return;
    }
    flush_planned_ = true;
    flushing_ =
        environment_.timers.after(flush_delay, [this](time_point) { flush(); });
}

void control_process::flush() {
    flush_planned_ = false;
    local_->publish(peers_->exchange().introduced());
    peers_->send_waiting();
    log_turns();
}

void control_process::log_turns() {
    const auto& configurations = known_->configurations;
    if (configurations.revision() != logged_revision_) {
        logged_revision_ = configurations.revision();
        program::log_change("configuration_in_force",
                            {{"revision", std::to_string(logged_revision_)}});
    }
    if (configurations.refused_revision() > logged_refused_) {
        logged_refused_ = configurations.refused_revision();
        program::log_warning(
            "configuration_refused",
            {{"revision", std::to_string(logged_refused_)},
             {"error", to_string(configurations.refused()->reason)}});
    }
    if (known_->members.replaced() && !logged_replaced_) {
        logged_replaced_ = true;
        program::log_warning("replaced",
                             {{"name", known_->members.self().id.name}});
    }
}

void control_process::stop(std::function<void()> stopped) {
    known_->members.leave();
    flush();
    platform_.stop();
    stopping_ = environment_.timers.after(
        leave_wait, [stopped = std::move(stopped)](time_point) { stopped(); });
}

} // namespace waxwingvale::control
