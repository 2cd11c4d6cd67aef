#pragma once

#include <cstddef>
#include <deque>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// When a process counts as running late.
struct late_wakeup_timing {
    // So many late wake-ups within the window: one stop says nothing of the
    // time to come.
    std::size_t wakeups = 3;
    duration window = std::chrono::seconds(5);
    // For so long after the last one.
    duration calm_after = std::chrono::seconds(10);
};

// Whether this process runs late again and again: its machine gives it too
// little time, or its work takes too much. Others wait then for what it does
// for them, so that it should do nothing for others.
class late_wakeup_history {
public:
    explicit late_wakeup_history(late_wakeup_timing timing) : timing_(timing) {}

    void record(time_point now);
    bool runs_late(time_point now) const;

private:
    late_wakeup_timing timing_;
    std::deque<time_point> recent_; // the newest `wakeups` of them
    time_point late_until_{};
};

} // namespace waxwingvale::membership
