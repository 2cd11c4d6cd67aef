#include "control/control_service.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "control/reading_facts.hpp"
#include "control/snapshot.hpp"
#include <waxwingvale/entry/backend_seen.hpp>
#include <waxwingvale/entry/reach_changed.hpp>
#include <waxwingvale/entry/requests_refused.hpp>
#include <waxwingvale/membership/configuration_proof.hpp>
#include <waxwingvale/model/configuration_file.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::control {

namespace {

constexpr duration flush_delay = std::chrono::milliseconds(2);
// Word of backend servers that no configuration names is kept this long: the
// configuration may be on its way.
constexpr duration unnamed_belief_keep = std::chrono::minutes(10);
// What changes with time alone and shows nowhere else is looked at after so
// many ticks: gathering all of it costs a small machine too much for every one.
constexpr unsigned ticks_between_looks = 10;
// After "I am leaving" the links stay open so that it gets out.
constexpr duration leave_wait = std::chrono::milliseconds(300);
// Of an answer of the platform: a few of its largest values, as it writes them.
constexpr std::size_t answer_limit = 8 * configuration_size_limit; // bytes
std::uint64_t random_seed() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

io::platform_client_options
platform_options(const program::settings& settings) {
    io::platform_client_options options;
    options.host = settings.platform.host;
    options.port = settings.platform.port;
    options.watch = settings.platform.watch;
    options.answer_within = settings.platform.answer_within;
    options.seed = random_seed();
    return options;
}

io::http_client::limits client_limits() {
    io::http_client::limits limits;
    limits.response_body = answer_limit;
    return limits;
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

control_service::control_service(
    const program::program_environment& environment,
    membership::member_record self, std::uint64_t incarnation,
    const published_state& published)
    : environment_(environment),
      published_(published),
      hub_(environment.services.need<io::message_hub>(
          program::service_name::peers)),
      client_(environment.loop, client_limits()),
      platform_(client_, environment.timers, published.dialect(),
                platform_options(environment.settings)),
      known_(
          self, environment.settings,
          [&published](const configuration_text& file) {
              return published.parse(file);
          },
          environment.timers.now()),
      intake_(environment.timers, known_.configurations, published),
      views_(environment.services.need<kernel::message_bus>(
                 program::service_name::bus),
             environment.timers, known_),
      peers_(hub_, environment.timers, known_, views_,
             environment.settings.peers.seeds, random_seed()),
      metrics_(environment.metrics, hub_, platform_, known_, views_, peers_) {
    known_.members.start_life(incarnation);
}

result<program::port_map> control_service::start() {
    const auto& settings = environment_.settings;
    auto& timers = environment_.timers;
    program::port_map ports;
    if (settings.control.administration) {
        admin_ = std::make_unique<administration::admin_server>(
            environment_.loop, settings.control, environment_.metrics, [this] {
                return take_snapshot(known_, views_, hub_, platform_,
                                     environment_.timers.now());
            });
        const auto serving = admin_->start();
        if (!serving) {
            return serving.error();
        }
        ports["admin"] = admin_->port();
    }
    auto& bus = environment_.services.need<kernel::message_bus>(
        program::service_name::bus);
    bus.subscribe<entry::backend_seen>([this](const entry::backend_seen& seen) {
        if (known_.beliefs.observe(seen.belief)) {
            changed();
        }
    });
    bus.subscribe<entry::requests_refused>(
        [this](const entry::requests_refused& refused) {
            known_.refused_here = refused.fingerprints;
            changed();
        });
    bus.subscribe<entry::reach_changed>(
        [this](const entry::reach_changed& reach) {
            if (known_.members.set_partitioned(reach.partitioned)) {
                changed();
            }
        });
    peers_.on_heard([this] { changed(); });
    peers_.offer_files_by(
        [this](configuration_text file,
               const configuration_intake::outcome_handler& then) {
            return intake_.offer(
                std::move(file),
                [this, then](membership::offer_outcome outcome) {
                    then(outcome);
                    changed();
                });
        });
    wake_ = std::make_unique<kernel::wake_hook>(environment_.loop,
                                                [this] { on_wake(); });
    ticking_ =
        timers.every(tick_period, [this](time_point now) { on_tick(now); });
    watch_platform();
    changed();
    return ports;
}

void control_service::watch_platform() {
    platform_.set_epoch(known_.fresh.epoch());
    follow_reader_duty(environment_.timers.now());
    platform_.on_state([this](bool answers, const error& why) {
        on_platform_state(answers, why);
    });
    for (const auto& topic : published_.topics()) {
        platform_.watch(topic, [this](const io::platform_reading& reading) {
            take_reading(reading);
        });
    }
}

void control_service::on_platform_state(bool answers, const error& why) {
    const auto now = environment_.timers.now();
    peers_.set_platform_answers(answers);
    if (!answers) {
        platform_failed_ = true;
        known_.registry.mark_platform_unreachable(last_word(now));
        program::log_warning("platform_lost", {{"error", to_string(why)}});
        return;
    }
    if (platform_failed_) {
        known_.registry.mark_platform_reachable(now);
    }
    platform_failed_ = false;
    program::log_change("platform_answers");
}

time_point control_service::last_word(time_point now) const {
    return std::max(platform_.last_answer().value_or(time_point()),
                    now - known_.readers.age(now));
}

void control_service::settle_freshness() {
    const auto now = environment_.timers.now();
    // A peer's answer comes after the next stop of a process that runs late.
    const bool awaits_peers =
        known_.members.present() > 1 && !known_.late_wakeups.runs_late(now);
    known_.fresh.settle(awaits_peers, now);
}

// A process that was stopped still believes its old view. Whatever event comes
// first, nothing is dispatched on that view: what must run at most once waits
// or is refused until somebody was heard who knows better.
void control_service::on_wake() {
    const auto now = environment_.timers.now();
    if (!known_.fresh.beat(now)) {
        return;
    }
    known_.late_wakeups.record(now);
    program::log_warning("late_wakeup",
                         {{"epoch", std::to_string(known_.fresh.epoch())}});
    follow_standing(now);
    views_.publish(peers_.exchange().introduced());
    platform_.set_epoch(known_.fresh.epoch());
    platform_.read_again();
    peers_.woke_late(known_.fresh.last_gap(), now);
    peers_.send_waiting();
}

// Others wait for what an instance does for them, so that one that runs late
// again and again says so and leaves it to the others.
void control_service::follow_lateness(time_point now) {
    const bool late = known_.late_wakeups.runs_late(now);
    known_.readers.set_runs_late(late);
    if (known_.members.set_runs_late(late)) {
        program::log_change("runs_late_changed",
                            {{"late", late ? "yes" : "no"}});
    }
}

void control_service::on_tick(time_point now) {
    follow_lateness(now);
    const bool look = ++ticks_ % ticks_between_looks == 0;
    const auto members_before = known_.members.version();
    const bool was_fresh = known_.fresh.fresh();
    const auto standing_before = known_.standing;
    const bool held_before = known_.routes_hold;
    follow_services();
    peers_.tick(now, look);
    const bool registry_changed = known_.registry.tick(now);
    settle_freshness();
    follow_reader_duty(now);
    follow_standing(now);
    if (look) {
        forget_unnamed(now);
        metrics_.update();
        log_awaited(now);
    }
    const bool news = registry_changed || was_fresh != known_.fresh.fresh() ||
                      standing_before != known_.standing ||
                      held_before != known_.routes_hold ||
                      members_before != known_.members.version();
    const bool none_yet = views_.last_view() == nullptr;
    if (look || news || none_yet) {
        flush();
    } else {
        peers_.send_waiting();
    }
}

void control_service::follow_standing(time_point now) {
    const auto& files = peers_.exchange().files();
    membership::configuration_signs signs;
    signs.word_age = known_.readers.word_age(now);
    signs.behind_for = files.behind_for(now);
    signs.woke_recently = files.woke_recently(now);
    signs.unheard_for = known_.fresh.unheard_for(now);
    signs.runs_late = known_.late_wakeups.runs_late(now);
    signs.platform_answers = platform_.answers();
    follow_proof(signs, now);
    const auto& platform = environment_.settings.platform;
    const auto max_age =
        membership::max_word_age_for(platform.watch, platform.answer_within);
    known_.standing = membership::standing_of(signs, max_age);
    known_.routes_hold = membership::routes_hold(signs, max_age);
}

void control_service::follow_proof(membership::configuration_signs& signs,
                                   time_point now) {
    if (signs.word_age && !signs.behind_for) {
        const auto named_at = now - *signs.word_age;
        known_.proved_at =
            std::max(known_.proved_at.value_or(named_at), named_at);
    }
    if (known_.proved_at) {
        signs.proof_age = now - *known_.proved_at;
    }
}

void control_service::forget_unnamed(time_point now) {
    if (const auto config = known_.configurations.in_force()) {
        known_.beliefs.retain(named_backend_servers(*config),
                              unnamed_belief_keep, now);
    }
}

void control_service::follow_members() {
    if (members_followed_ == known_.members.version()) {
        return;
    }
    members_followed_ = known_.members.version();
    const auto members = known_.members.members();
    known_.readers.take_members(members);
    platform_.set_share(membership::read_share_for(
        environment_.settings.platform.reads_per_second, members.size(),
        known_.readers.rank()));
}

void control_service::follow_reader_duty(time_point now) {
    follow_members();
    const bool read = known_.readers.should_read(now);
    if (read == !platform_.paused()) {
        return;
    }
    if (read) {
        program::log_change(
            "reads_platform",
            {{"word_age_ms", std::to_string(known_.readers.age(now) /
                                            std::chrono::milliseconds(1))}});
        if (platform_failed_) {
            // Others have read it since.
            known_.registry.mark_platform_unreachable(last_word(now));
        }
        platform_.resume();
    } else {
        program::log_change("hears_of_platform");
        platform_.pause();
    }
}

void control_service::changed() {
    if (flush_planned_) {
        return;
    }
    flush_planned_ = true;
    flushing_ =
        environment_.timers.after(flush_delay, [this](time_point) { flush(); });
}

void control_service::flush() {
    flush_planned_ = false;
    publish_view();
    peers_.send_waiting();
    log_turns();
}

void control_service::publish_view() {
    const auto now = environment_.timers.now();
    follow_standing(now);
    const auto& last = views_.last_view();
    const bool awaited = known_.routes_hold && last && !last->routes_hold;
    const auto wait = pace_.due_in(now, awaited);
    if (wait > duration::zero()) {
        if (!publishing_planned_) {
            publishing_planned_ = true;
            publishing_ = environment_.timers.after(wait, [this](time_point) {
                publishing_planned_ = false;
                publish_view();
            });
        }
        return;
    }
    if (views_.publish(peers_.exchange().introduced())) {
        pace_.published(now, views_.last_view()->members.size());
    }
}

void control_service::reload(const program::settings& changed) {
    peers_.change_seeds(changed.peers.seeds);
}

void control_service::leave() {
    known_.members.leave();
    flush();
}

void control_service::stop(std::function<void()> stopped) {
    flush();
    platform_.pause();
    ticking_.cancel();
    stopping_ = environment_.timers.after(
        leave_wait, [stopped = std::move(stopped)](time_point) { stopped(); });
}

} // namespace waxwingvale::control
