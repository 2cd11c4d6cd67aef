#pragma once

#include <cstdint>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// Whether this process's view is from now. A process that was stopped and
// wakes goes on with what it knew then; callers notice it as work that is
// sent to backend servers which left long ago. Every wake-up begins a new
// epoch, and only word that was asked for in the present epoch makes the view
// fresh: answers that lay waiting in the sockets do not.
class freshness {
public:
    // Gaps between two beats that are longer mean that the process was
    // stopped.
    freshness(duration gap_limit, time_point now)
        : gap_limit_(gap_limit), last_beat_(now), woke_at_(now) {}

    // To be called often, and before anything else after every wait. Returns
    // whether the process was stopped since the last beat.
    bool beat(time_point now) {
        const bool late = now - last_beat_ > gap_limit_;
        last_beat_ = now;
        if (late) {
            ++epoch_;
            fresh_ = false;
            platform_heard_ = false;
            woke_at_ = now;
            ++late_wakes_;
        }
        return late;
    }

    // The platform answered in that epoch. Its list lags: it does not yet name
    // a backend server that began to leave a moment ago, which peers know. So
    // where there are peers they are waited for, for a bounded time.
    void hear_platform(std::uint64_t epoch) {
        platform_heard_ = platform_heard_ || epoch == epoch_;
    }

    // Makes the view fresh on the platform's word alone when there are no
    // peers or none has answered in time.
    void settle(bool has_peers, time_point now) {
        const bool waited = now - woke_at_ >= peer_wait;
        fresh_ = fresh_ || (platform_heard_ && (waited || !has_peers));
    }

    // A peer answered what was asked in that epoch. Returns whether the
    // view has just become fresh.
    bool hear(std::uint64_t epoch) {
        if (epoch != epoch_ || fresh_) {
            return false;
        }
        fresh_ = true;
        return true;
    }

    std::uint64_t epoch() const { return epoch_; }
    bool fresh() const { return fresh_; }
    std::uint64_t late_wakes() const { return late_wakes_; }

private:
    static constexpr duration peer_wait = std::chrono::seconds(1);

    duration gap_limit_;
    time_point last_beat_;
    std::uint64_t epoch_ = 1;
    bool fresh_ = false;
    bool platform_heard_ = false;
    time_point woke_at_;
    std::uint64_t late_wakes_ = 0;
};

} // namespace waxwingvale::membership
