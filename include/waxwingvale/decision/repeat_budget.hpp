#pragma once

#include <cstddef>
#include <deque>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How many repeated attempts a service may get: within any period of length
// `window`, at most `fraction` times its requests plus `extra`.
struct repeat_limits {
    duration window{};
    double fraction = 0;
    double extra = 0;
};

// Counts the requests for a service and its repeated attempts (retries and
// hedges) over a sliding window. The owners of the service's slots keep the
// count: if every instance counted for itself, the sum of many small budgets
// would far exceed the limit set for the deployment.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_limits& limits) : limits_(limits) {}

    void change_limits(const repeat_limits& limits) { limits_ = limits; }
    void on_request(time_point now);
    // Counts one repeated attempt if the budget allows it; returns whether it
    // did.
    bool try_spend(time_point now);

    double requests() const { return requests_; }
    double repeats() const { return repeats_; }
    // The most repeats that the requests counted so far allow.
    double limit() const {
        return limits_.fraction * requests_ + limits_.extra;
    }

private:
    // Counts of one section of the window.
    struct window_section {
        time_point start{};
        double requests = 0;
        double repeats = 0;
    };

    window_section& current_section(time_point now);

    repeat_limits limits_;
    std::deque<window_section> sections_;
    double requests_ = 0;
    double repeats_ = 0;
};

} // namespace waxwingvale::decision
