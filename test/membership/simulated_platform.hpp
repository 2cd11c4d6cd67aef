#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

struct platform_answer {
    // Gone: the history to watch from is no longer known.
    enum class kind { value, unchanged, gone, refused } what = kind::value;
    std::uint64_t revision = 0; // to watch from
    std::uint64_t version = 0;  // of the configuration
};

// The platform as the instances of a simulated fleet reach it: what was
// published, and what is wrong with it.
class simulated_platform {
public:
    using scheduler = std::function<void(time_point, std::function<void()>)>;
    using handler = std::function<void(const platform_answer&)>;
    using choice = std::function<bool(unsigned)>;
    // Each way.
    static constexpr duration usual_delay = std::chrono::milliseconds(4);

    simulated_platform(const time_point& now, scheduler at,
                       duration longest_watch);

    void publish_configuration();
    void change_servers();
    std::uint64_t version() const { return published_.size(); }
    // What had been published so long ago.
    std::uint64_t version_before(duration age) const;
    // How long ago that version was replaced; zero: it is the newest.
    duration age_of_next(std::uint64_t version) const;
    std::uint64_t revision() const { return changes_.size() + 1; }

    // A list, or a watch of what comes after a revision. May never answer.
    void ask(unsigned instance, std::optional<std::uint64_t> after,
             handler on_answer);

    // How often it was asked for anything, in vain included.
    std::uint64_t reads() const { return reads_; }

    // Others get no answer, or a refusal at once.
    void answer_only(choice whom) { answered_ = std::move(whom); }
    void refuse_the_others(bool refuses) { refuses_ = refuses; }
    bool answers(unsigned instance) const { return answered_(instance); }
    void set_delay(duration delay) { delay_ = delay; }
    // Answers tell what was known so long ago.
    void set_word_age(duration age);
    // How old its word was at most in the last seconds.
    duration oldest_word() const;
    void forget_history() { forgotten_ = revision(); }

private:
    struct watch {
        unsigned instance;
        std::uint64_t after;
        handler on_answer;
    };

    void change();
    std::uint64_t visible() const;
    void answer(unsigned instance, const handler& to,
                const platform_answer& what);
    void take(unsigned instance, std::optional<std::uint64_t> after,
              const handler& on_answer);
    void answer_watches();
    void end_watch(std::uint64_t number);

    const time_point& now_;
    scheduler at_;
    duration longest_watch_;
    std::vector<time_point> published_; // configurations, from version 1 on
    std::vector<time_point> changes_;   // of anything, from revision 2 on
    std::uint64_t forgotten_ = 0;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t asked_ = 0;
    std::uint64_t reads_ = 0;
    choice answered_;
    bool refuses_ = false;
    duration delay_;
    duration word_age_{};
    duration former_word_age_{};
    time_point word_age_changed_{};
};

} // namespace waxwingvale
