#pragma once

#include <ev.h>
#include <functional>

#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::load {

// Wakes the loop at a moment to within tens of microseconds. libev's own
// timers wait in whole milliseconds, which would add up to one of them to
// every latency that counts from the intended send time.
class precise_timer {
public:
    precise_timer(kernel::event_loop& loop, std::function<void()> handler);
    ~precise_timer();
    precise_timer(const precise_timer&) = delete;
    precise_timer& operator=(const precise_timer&) = delete;

    // Calls the handler at that moment of the monotonic clock, or at once
    // when it has passed; replaces an earlier moment.
    void wake_at(time_point moment) const;

private:
    struct ev_loop* loop_;
    int descriptor_;
    ev_io watcher_{};
    std::function<void()> handler_;
};

} // namespace waxwingvale::load
