#pragma once

#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::kernel {

// Measures by how much this process lags: how much later than it was due a
// timer fires. What lies unread in a socket waits about as long.
class lateness_meter {
public:
    explicit lateness_meter(timer_service& timers);

    // The longest lag since the last call.
    duration take_longest();

private:
    void beat(time_point now);

    time_point last_beat_;
    duration longest_{};
    timer_service::subscription beating_;
};

} // namespace waxwingvale::kernel
