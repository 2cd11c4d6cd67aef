#pragma once

#include <chrono>
#include <cstdint>

namespace waxwingvale {

// All durations are whole microseconds: fine enough for servers whose load
// shifts in milliseconds, and exact, so that a recorded trace replays to the
// same decisions.
using duration = std::chrono::microseconds;

// Names the clock that time points belong to. It cannot be read: decisions
// are told what time it is, and only the kernel reads a real clock.
struct monotonic_timeline {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = waxwingvale::duration;
    using time_point = std::chrono::time_point<monotonic_timeline>;
    static constexpr bool is_steady = true;
};

// A moment on one process's monotonic clock. Time points of two processes
// cannot be compared; what travels between processes are durations ("how long
// ago", "how much is left").
using time_point = monotonic_timeline::time_point;

} // namespace waxwingvale
