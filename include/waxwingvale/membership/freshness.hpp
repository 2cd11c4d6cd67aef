#pragma once

#include <cstdint>
#include <optional>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// Tracks whether this process's view is current. A process that was stopped
// (paused, suspended) continues with its old view when it wakes up, and would
// send work to backend servers that left long ago. Every late wake-up begins a
// new epoch, and only an answer to a query of the current epoch makes the view
// fresh; answers that were waiting in the sockets meanwhile do not.
class freshness {
public:
    // A gap between two calls of beat() longer than `gap_limit` means that the
    // process was stopped.
    freshness(duration gap_limit, time_point now)
        : gap_limit_(gap_limit), last_beat_(now), stale_since_(now) {}

    // Must be called frequently, and after every wait before anything else is
    // done. Returns whether the process was stopped since the last call.
    bool beat(time_point now) {
        last_gap_ = now - last_beat_;
        stopped_at_ = last_gap_ > gap_limit_ ? last_beat_ : stopped_at_;
        const bool late = last_gap_ > gap_limit_;
        last_beat_ = now;
        if (late) {
            ++epoch_;
            stale_since_ = fresh_ ? now : stale_since_;
            fresh_ = false;
            platform_answered_ = false;
            ++late_wakeups_;
        }
        return late;
    }

    // Records that the discovery platform answered a query of `epoch`. Its list
    // lags: it may not show yet that a backend server has just begun to leave,
    // while peers know it. If there are peers, the view therefore becomes fresh
    // only by a peer's answer or after a bounded wait.
    void hear_platform(std::uint64_t epoch) {
        platform_answered_ = platform_answered_ || epoch == epoch_;
    }

    // The time since the first late wake-up after which neither the platform
    // nor a peer has answered a query of the current epoch; empty: one has.
    std::optional<duration> unheard_for(time_point now) const {
        const bool heard = fresh_ || platform_answered_;
        return heard ? std::nullopt : std::optional(now - stale_since_);
    }

    // Makes the view fresh by the platform's answer alone if no peers are to be
    // awaited or none has answered in time. A further late wake-up does not
    // begin that time anew: in a process that is stopped again and again it
    // would not end.
    void settle(bool awaits_peers, time_point now) {
        const bool waited = now - stale_since_ >= max_peer_wait;
        fresh_ = fresh_ || (platform_answered_ && (waited || !awaits_peers));
    }

    // Records that a peer answered a query of `epoch`. Returns whether this
    // made the view fresh.
    bool record_peer_answer(std::uint64_t epoch) {
        if (epoch != epoch_ || fresh_) {
            return false;
        }
        fresh_ = true;
        return true;
    }

    // How long, at the last beat, an answer to a question of that epoch may
    // have waited unread: if the process has been stopped since, for as long as
    // it was at last.
    duration longest_wait_of(std::uint64_t epoch) const {
        return epoch == epoch_ ? duration::zero() : last_beat_ - stopped_at_;
    }

    // How long before the last beat the one before it was.
    duration last_gap() const { return last_gap_; }
    std::uint64_t epoch() const { return epoch_; }
    bool fresh() const { return fresh_; }
    std::uint64_t late_wakeups() const { return late_wakeups_; }

private:
    static constexpr duration max_peer_wait = std::chrono::seconds(1);

    duration gap_limit_;
    time_point last_beat_;
    duration last_gap_{};
    time_point stopped_at_{}; // at last
    std::uint64_t epoch_ = 1;
    bool fresh_ = false;
    bool platform_answered_ = false;
    time_point stale_since_; // while it is not fresh
    std::uint64_t late_wakeups_ = 0;
};

} // namespace waxwingvale::membership
