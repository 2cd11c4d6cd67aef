// The part of control_service that takes what is read of the platform.

#include <set>
#include <variant>

#include <waxwingvale/program/state_log.hpp>

#include "control/control_service.hpp"

namespace waxwingvale::control {

void control_service::take_reading(const io::platform_reading& reading) {
    const auto now = environment_.timers.now();
    follow_era(reading);
    const bool news = take_facts(reading);
    if (reading.ends) {
        known_.readers.hear(known_.members.self().id.name,
                            known_.fresh.longest_wait_of(reading.epoch), now);
        known_.fresh.hear_platform(reading.epoch);
        settle_freshness();
    }
    if (news || reading.ends) {
        changed();
    }
}

bool control_service::take_facts(const io::platform_reading& reading) {
    const auto now = environment_.timers.now();
    const bool lists =
        reading.whole && published_.lists_backend_servers(reading.topic);
    if (lists && reading.begins) {
        known_.registry.begin_list(now);
        list_.begin(now);
    }
    const auto read = facts_of(reading, published_);
    for (const auto& item : read.unreadable) {
        note_unreadable(item);
    }
    for (const auto& record : read.withdrawn) {
        known_.registry.merge(record, now);
    }
    for (const auto& fact : read.facts) {
        std::visit([this](const auto& typed) { take(typed); }, fact);
    }
    follow_services();
    bool news = !read.facts.empty() || !read.withdrawn.empty();
    if (!lists) {
        return news;
    }
    for (const auto& record : list_.add(read.listed, reading.ends, now)) {
        known_.registry.add_listed(record, now);
        news = true;
    }
    if (reading.ends) {
        known_.registry.end_list({reading.revision, reading.era}, now);
    }
    return news;
}

void control_service::follow_services() {
    const auto config = known_.configurations.in_force();
    if (!config || config->revision == services_followed_) {
        return;
    }
    services_followed_ = config->revision;
    std::set<std::string> names;
    for (const auto& each : config->services) {
        names.insert(each.name);
    }
    known_.registry.set_services(std::move(names));
}

void control_service::take(const unrelated_item&) {}

void control_service::take(const configuration_text& file) {
    const auto outcome = known_.configurations.offer(file);
    const bool passed_over = outcome == membership::offer_outcome::older ||
                             outcome == membership::offer_outcome::conflicting;
    if (passed_over) {
        program::log_change(
            "configuration_passed_over",
            {{"revision", std::to_string(file.revision)},
             {"in_force", std::to_string(known_.configurations.revision())}});
    }
}

void control_service::take(const membership::registry_record& record) {
    known_.registry.apply_change(record, environment_.timers.now());
}

void control_service::take(const membership::platform_list& list) {
    const auto now = environment_.timers.now();
    known_.members.apply_platform_list(list.members, now);
    for (const auto& each : list.backend_servers) {
        known_.beliefs.observe(
            {each.name, each.incarnation,
             each.leaving ? backend_state::leaving : backend_state::serving,
             belief_source::platform_list, known_.members.self().id.name, now});
    }
}

} // namespace waxwingvale::control
