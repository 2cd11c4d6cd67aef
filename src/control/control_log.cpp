// The part of control_service that tells of what it reads and what is in force.

#include <algorithm>
#include <utility>

#include <waxwingvale/program/state_log.hpp>

#include "control/control_service.hpp"

namespace waxwingvale::control {

namespace {

// Of a key that somebody else has chosen, the log gets so many bytes.
constexpr std::size_t longest_key_told = 100;
// And of an error that may quote it.
constexpr std::size_t longest_error_told = 300;
// A file that was not in force this long after word of it is told of.
constexpr duration longest_ordinary_wait = std::chrono::seconds(1);

} // namespace

// The platform has come back from a copy: what was changed after it is lost.
void control_service::follow_era(const io::platform_reading& reading) {
    const auto before = std::exchange(era_, std::max(era_, reading.era));
    if (before != 0 && reading.era > before) {
        program::log_warning("platform_restored",
                             {{"era", std::to_string(reading.era)},
                              {"revision", std::to_string(reading.revision)}});
    }
}

void control_service::note_unreadable(const unreadable_item& item) {
    if (!known_.unreadable.note(item.key, item.stamp)) {
        return;
    }
    program::log_warning(
        "published_item_refused",
        {{"key", item.key.substr(0, longest_key_told)},
         {"revision", std::to_string(item.stamp.revision)},
         {"error", to_string(item.why).substr(0, longest_error_told)}});
}

// As long as it lasts, so that its beginning and its end can be seen.
void control_service::log_awaited(time_point now) {
    const auto awaited = peers_.exchange().files().pending(now);
    if (!awaited || awaited->waiting_time < longest_ordinary_wait) {
        return;
    }
    program::log_warning(
        "configuration_awaited",
        {{"revision", std::to_string(awaited->revision)},
         {"in_force", std::to_string(known_.configurations.revision())},
         {"named_by", awaited->announced_by},
         {"waited_ms",
          std::to_string(awaited->waiting_time / std::chrono::milliseconds(1))},
         {"asked", std::to_string(awaited->requests)}});
}

void control_service::log_standing() {
    if (std::exchange(logged_standing_, known_.standing) == known_.standing) {
        return;
    }
    const auto now = environment_.timers.now();
    const auto in_ms = [](const std::optional<duration>& time) {
        return time ? std::to_string(*time / std::chrono::milliseconds(1))
                    : std::string();
    };
    program::log_change(
        "configuration_standing",
        {{"standing", to_string(known_.standing)},
         {"in_force", std::to_string(known_.configurations.revision())},
         {"newest", std::to_string(peers_.exchange().files().named())},
         {"word_age_ms", in_ms(known_.readers.word_age(now))},
         {"behind_ms", in_ms(peers_.exchange().files().behind_for(now))}});
}

void control_service::log_turns() {
    const auto& configurations = known_.configurations;
    if (configurations.revision() != logged_revision_) {
        logged_revision_ = configurations.revision();
        const auto sender =
            peers_.exchange().files().sender_of(logged_revision_);
        program::log_change("configuration_in_force",
                            {{"revision", std::to_string(logged_revision_)},
                             {"from", sender.empty() ? "platform" : sender}});
    }
    if (configurations.refused_revision() > logged_refused_) {
        logged_refused_ = configurations.refused_revision();
        program::log_warning(
            "configuration_refused",
            {{"revision", std::to_string(logged_refused_)},
             {"error", to_string(configurations.refused()->reason)}});
    }
    log_standing();
    if (known_.members.replaced() && !logged_replaced_) {
        logged_replaced_ = true;
        program::log_warning("replaced",
                             {{"name", known_.members.self().id.name}});
    }
}

} // namespace waxwingvale::control
