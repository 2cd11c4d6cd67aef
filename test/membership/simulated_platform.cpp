#include "simulated_platform.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale {

namespace {

// An answer may have been under way, and is passed on.
constexpr duration word_kept = std::chrono::seconds(3);

} // namespace

simulated_platform::simulated_platform(const time_point& now, scheduler at,
                                       duration longest_watch)
    : now_(now),
      at_(std::move(at)),
      longest_watch_(longest_watch),
      answered_([](unsigned) { return true; }),
      delay_(usual_delay) {}

void simulated_platform::publish_configuration() {
    published_.push_back(now_);
    change();
}

void simulated_platform::change_servers() {
    change();
}

void simulated_platform::change() {
    changes_.push_back(now_);
    at_(now_ + word_age_, [this] { answer_watches(); });
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

void simulated_platform::set_word_age(duration age) {
    former_word_age_ = word_age_;
    word_age_changed_ = now_;
    word_age_ = age;
}

duration simulated_platform::oldest_word() const {
    const bool kept = now_ - word_age_changed_ < word_kept;
    return kept ? std::max(former_word_age_, word_age_) : word_age_;
}

// The newest revision that is told.
std::uint64_t simulated_platform::visible() const {
    const auto end =
        std::upper_bound(changes_.begin(), changes_.end(), now_ - word_age_);
    return static_cast<std::uint64_t>(end - changes_.begin()) + 1;
}

void simulated_platform::ask(unsigned instance,
                             std::optional<std::uint64_t> after,
                             handler on_answer) {
    ++reads_;
    at_(now_ + delay_, [this, instance, after, to = std::move(on_answer)] {
        take(instance, after, to);
    });
}

void simulated_platform::take(unsigned instance,
                              std::optional<std::uint64_t> after,
                              const handler& on_answer) {
    if (!answered_(instance)) {
        if (refuses_) {
            at_(now_ + delay_, [on_answer] {
                on_answer({platform_answer::kind::refused, 0, 0});
            });
        }
        return;
    }
    if (after && *after < forgotten_) {
        answer(instance, on_answer, {platform_answer::kind::gone, 0, 0});
    } else if (!after || visible() > *after) {
        answer(instance, on_answer,
               {platform_answer::kind::value, visible(),
                version_before(word_age_)});
    } else {
        const auto number = ++asked_;
        watches_[number] = {instance, *after, on_answer};
        at_(now_ + longest_watch_, [this, number] { end_watch(number); });
    }
}

void simulated_platform::answer(unsigned instance, const handler& to,
                                const platform_answer& what) {
    if (answered_(instance)) {
        at_(now_ + delay_, [to, what] { to(what); });
    }
}

void simulated_platform::answer_watches() {
    for (auto at = watches_.begin(); at != watches_.end();) {
        const auto& each = at->second;
        const bool due = visible() > each.after;
        if (due) {
            answer(each.instance, each.on_answer,
                   {platform_answer::kind::value, visible(),
                    version_before(word_age_)});
        }
        at = due ? watches_.erase(at) : std::next(at);
    }
}

void simulated_platform::end_watch(std::uint64_t number) {
    const auto found = watches_.find(number);
    if (found != watches_.end()) {
        const auto& of = found->second;
        answer(of.instance, of.on_answer,
               {platform_answer::kind::unchanged, of.after, 0});
        watches_.erase(found);
    }
}

} // namespace waxwingvale
