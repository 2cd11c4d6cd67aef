#pragma once

#include <cstddef>
#include <deque>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How many repeated attempts a service may get: in every window as long as
// `window`, a fraction of its requests and some more.
struct repeat_limits {
    duration window{};
    double fraction = 0;
    double extra = 0;
};

// Counts the requests for a service and its repeated attempts, retries and
// hedges alike, over a sliding window. Kept where the service's slots are
// owned: counted on each instance alone, the sum of many small budgets would
// be far above the one that the deployment allows.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_limits& limits) : limits_(limits) {}

    void change_limits(const repeat_limits& limits) { limits_ = limits; }
    void on_request(time_point now);
    // Takes one repeated attempt from the budget, unless it is used up.
    bool try_spend(time_point now);

private:
    // What was counted within one part of the window.
    struct part {
        time_point from{};
        double requests = 0;
        double repeats = 0;
    };

    part& current(time_point now);

    repeat_limits limits_;
    std::deque<part> parts_;
    double requests_ = 0;
    double repeats_ = 0;
};

} // namespace waxwingvale::decision
