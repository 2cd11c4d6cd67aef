// The part of control_service that takes what is read of the platform.

#include <set>
#include <utility>
#include <variant>

#include <waxwingvale/program/state_log.hpp>

#include "control/control_service.hpp"

namespace waxwingvale::control {

void control_service::take_reading(const io::platform_reading& reading) {
    follow_era(reading);
    const auto files_before = files_being_read_;
    const bool news = take_facts(reading);
    const reading_end end{reading.topic, reading.epoch, news, reading.ends};
    if (files_being_read_ == files_before) {
        end_reading(end);
        return;
    }
    held_.push_back(end);
    platform_.hold(end.topic);
    if (news) {
        changed(); // of what is not in the files
    }
}

void control_service::end_reading(const reading_end& end) {
    if (end.all) {
        known_.readers.hear(known_.members.self().id.name,
                            known_.fresh.longest_wait_of(end.epoch),
                            environment_.timers.now());
        known_.fresh.hear_platform(end.epoch);
        settle_freshness();
    }
    if (end.news || end.all) {
        changed();
    }
}

// Nothing is known to be the newest until all of a reading is in force.
void control_service::end_file() {
    if (--files_being_read_ > 0) {
        return;
    }
    for (const auto& each : std::exchange(held_, {})) {
        end_reading(each);
        platform_.go_on(each.topic);
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
    const auto outcome =
        intake_.offer(file, [this, revision = file.revision](auto later) {
            log_passed_over(revision, later);
            end_file();
        });
    if (outcome == membership::offer_outcome::begun) {
        ++files_being_read_;
    } else {
        log_passed_over(file.revision, outcome);
    }
}

void control_service::log_passed_over(std::uint64_t revision,
                                      membership::offer_outcome outcome) const {
    const bool passed_over = outcome == membership::offer_outcome::older ||
                             outcome == membership::offer_outcome::conflicting;
    if (passed_over) {
        program::log_change(
            "configuration_passed_over",
            {{"revision", std::to_string(revision)},
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
