#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

struct platform_answer {
    // `gone`: the history since the requested revision is no longer available.
    enum class kind { value, unchanged, gone, refused } outcome = kind::value;
    std::uint64_t revision = 0; // from which to watch
    std::uint64_t version = 0;  // of the configuration
};

// The platform of a simulated fleet: the published configurations, the number
// of other changes, and the faults that are injected into it.
class simulated_platform {
public:
    using scheduler = std::function<void(time_point, std::function<void()>)>;
    using answer_handler = std::function<void(const platform_answer&)>;
    using instance_filter = std::function<bool(unsigned)>;
    // In each direction.
    static constexpr duration usual_delay = std::chrono::milliseconds(4);

    simulated_platform(const time_point& now, scheduler schedule_at,
                       duration watch_timeout);

    void publish_configuration();
    void change_servers();
    std::uint64_t version() const { return published_.size(); }
    // The configuration version that was the newest one `age` ago.
    std::uint64_t version_before(duration age) const;
    // The time since the version was replaced; zero if it is the newest.
    duration age_of_next(std::uint64_t version) const;
    std::uint64_t revision() const { return changes_.size() + 1; }

    // Reads the list, or watches for changes after a revision. The handler may
    // never be called.
    void read(unsigned instance, std::optional<std::uint64_t> after_revision,
              answer_handler on_answer);

    // The number of reads, unanswered ones included.
    std::uint64_t read_count() const { return read_count_; }

    // The platform answers the instances that the filter accepts. The others
    // get no answer, or are refused at once.
    void answer_only(instance_filter answered) {
        answered_ = std::move(answered);
    }
    void refuse_the_others(bool refuses) { refuses_others_ = refuses; }
    bool answers(unsigned instance) const { return answered_(instance); }
    void set_delay(duration delay) { delay_ = delay; }
    // Answers contain the state of this long ago.
    void set_staleness(duration staleness);
    // The largest staleness of answers that instances may have received or
    // passed on in the last 3 s.
    duration oldest_word() const;
    // Ends the history at the present revision: watches of earlier revisions
    // are answered with `gone`.
    void truncate_history() { history_start_ = revision(); }

private:
    struct watch {
        unsigned instance;
        std::uint64_t after_revision;
        answer_handler on_answer;
    };

    void add_change();
    std::uint64_t visible_revision() const;
    void answer(unsigned instance, const answer_handler& on_answer,
                const platform_answer& content);
    void handle_read(unsigned instance,
                     std::optional<std::uint64_t> after_revision,
                     const answer_handler& on_answer);
    void answer_watches();
    void end_watch(std::uint64_t number);

    const time_point& now_;
    scheduler schedule_at_;
    duration watch_timeout_;
    std::vector<time_point> published_; // configurations, from version 1 on
    std::vector<time_point> changes_;   // all changes, from revision 2 on
    std::uint64_t history_start_ = 0;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t watch_count_ = 0;
    std::uint64_t read_count_ = 0;
    instance_filter answered_;
    bool refuses_others_ = false;
    duration delay_;
    duration staleness_{};
    duration previous_staleness_{};
    time_point staleness_changed_at_{};
};

} // namespace waxwingvale
