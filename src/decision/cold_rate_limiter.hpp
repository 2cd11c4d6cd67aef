#pragma once

#include <optional>
#include <vector>

#include <waxwingvale/decision/held_window.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Limits the rate of requests to one backend server while it is cold. A cold
// server crashes if it receives more requests in a second than it can handle.
// Starts are recorded while it is warm, too, because it may turn cold at any
// moment. Does no I/O and reads no clock.
class cold_rate_limiter {
public:
    // Maximum number of requests from this instance in any second; unlimited if
    // not set.
    void set_limit(std::optional<unsigned> limit);
    // Sets whether this instance owns the server. A new owner sends nothing
    // until it knows what the server got in the last second. `first_view`: this
    // process has just started; else a server that it has not seen before has
    // had no owner before, either.
    void set_owner(bool owner, bool first_view, time_point now);
    // Sets the end of the cold phase as listed in the registry. A repeated
    // value does not override what the server itself has reported since.
    void set_registered_cold_until(time_point until);
    // Sets the end of the cold phase as reported by the server itself.
    void set_cold_until(time_point until) { cold_until_ = until; }

    bool is_cold(time_point now) const { return now < cold_until_; }
    // Number of requests that may be sent now, or nothing if there is no limit.
    std::optional<unsigned> available(time_point now) const;
    // When the next request may be sent, or nothing if it may be sent now.
    std::optional<time_point> next_available(time_point now) const;
    void record_start(time_point now);

private:
    held_window past() const;

    std::optional<unsigned> limit_;
    std::optional<bool> owner_; // not set: the server is new
    time_point owned_since_{};
    time_point registered_cold_until_{};
    time_point cold_until_{};
    // Times of the last `limit_` starts, oldest first. Most servers have none;
    // a vector, since a deque allocates even when it is empty or moved from.
    std::vector<time_point> starts_;
};

} // namespace waxwingvale::decision
