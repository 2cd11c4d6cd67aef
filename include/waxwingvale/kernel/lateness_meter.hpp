#pragma once

#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/kernel/wake_hook.hpp>

namespace waxwingvale::kernel {

// Measures by how much this process lags: how much later than it was due a
// timer fires. What lies unread in a socket waits about as long.
class lateness_meter {
public:
    lateness_meter(event_loop& loop, timer_service& timers);

    // The longest lag since the last call.
    duration take_longest();
    // For how long, since the start, the loop has not looked at its sockets
    // though it was to: the sum of what was longer than a beat. Whatever
    // came in such a time has waited for a part of it, nobody knows which.
    duration held_up() const { return held_up_; }

private:
    void beat(time_point now);
    void note_turn();

    timer_service& timers_;
    time_point last_turn_;
    duration held_up_{};
    wake_hook on_turn_;
    time_point last_beat_;
    duration longest_{};
    timer_service::subscription beating_;
};

} // namespace waxwingvale::kernel
