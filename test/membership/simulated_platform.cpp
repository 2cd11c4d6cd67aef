#include "simulated_platform.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale {

namespace {

// After the staleness changes, answers with the previous one may still be in
// flight or be passed on between instances for this long.
constexpr duration staleness_carry_over = std::chrono::seconds(3);

} // namespace

simulated_platform::simulated_platform(const time_point& now,
                                       scheduler schedule_at,
                                       duration watch_timeout)
    : now_(now),
      schedule_at_(std::move(schedule_at)),
      watch_timeout_(watch_timeout),
      answered_([](unsigned) { return true; }),
      delay_(usual_delay) {}

void simulated_platform::publish_configuration() {
    published_.push_back(now_);
    add_change();
}

void simulated_platform::change_servers() {
    add_change();
}

void simulated_platform::add_change() {
    changes_.push_back(now_);
    schedule_at_(now_ + staleness_, [this] { answer_watches(); });
}

std::uint64_t simulated_platform::version_before(duration age) const {
    const auto end =
        std::upper_bound(published_.begin(), published_.end(), now_ - age);
    return static_cast<std::uint64_t>(end - published_.begin());
}

duration simulated_platform::age_of_next(std::uint64_t version) const {
    return version < published_.size() ? now_ - published_[version]
                                       : duration::zero();
}

void simulated_platform::set_staleness(duration staleness) {
    previous_staleness_ = staleness_;
    staleness_changed_at_ = now_;
    staleness_ = staleness;
}

duration simulated_platform::oldest_word() const {
    const bool carries_over =
        now_ - staleness_changed_at_ < staleness_carry_over;
    return carries_over ? std::max(previous_staleness_, staleness_)
                        : staleness_;
}

// The newest revision that answers contain.
std::uint64_t simulated_platform::visible_revision() const {
    const auto end =
        std::upper_bound(changes_.begin(), changes_.end(), now_ - staleness_);
    return static_cast<std::uint64_t>(end - changes_.begin()) + 1;
}

void simulated_platform::read(unsigned instance,
                              std::optional<std::uint64_t> after_revision,
                              answer_handler on_answer) {
    ++read_count_;
    schedule_at_(now_ + delay_, [this, instance, after_revision,
                                 handler = std::move(on_answer)] {
        handle_read(instance, after_revision, handler);
    });
}

void simulated_platform::handle_read(
    unsigned instance, std::optional<std::uint64_t> after_revision,
    const answer_handler& on_answer) {
    if (!answered_(instance)) {
        if (refuses_others_) {
            schedule_at_(now_ + delay_, [on_answer] {
                on_answer({platform_answer::kind::refused, 0, 0});
            });
        }
        return;
    }
    if (after_revision && *after_revision < history_start_) {
        answer(instance, on_answer, {platform_answer::kind::gone, 0, 0});
    } else if (!after_revision || visible_revision() > *after_revision) {
        answer(instance, on_answer,
               {platform_answer::kind::value, visible_revision(),
                version_before(staleness_)});
    } else {
        const auto number = ++watch_count_;
        watches_[number] = {instance, *after_revision, on_answer};
        schedule_at_(now_ + watch_timeout_,
                     [this, number] { end_watch(number); });
    }
}

void simulated_platform::answer(unsigned instance,
                                const answer_handler& on_answer,
                                const platform_answer& content) {
    if (answered_(instance)) {
        schedule_at_(now_ + delay_,
                     [on_answer, content] { on_answer(content); });
    }
}

void simulated_platform::answer_watches() {
    for (auto at = watches_.begin(); at != watches_.end();) {
        const auto& each = at->second;
        const bool due = visible_revision() > each.after_revision;
        if (due) {
            answer(each.instance, each.on_answer,
                   {platform_answer::kind::value, visible_revision(),
                    version_before(staleness_)});
        }
        at = due ? watches_.erase(at) : std::next(at);
    }
}

void simulated_platform::end_watch(std::uint64_t number) {
    const auto found = watches_.find(number);
    if (found != watches_.end()) {
        const auto& ended = found->second;
        answer(ended.instance, ended.on_answer,
               {platform_answer::kind::unchanged, ended.after_revision, 0});
        watches_.erase(found);
    }
}

} // namespace waxwingvale
