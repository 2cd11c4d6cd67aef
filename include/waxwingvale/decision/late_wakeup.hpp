#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Notices that this process was stopped for long. A process that wakes up
// late still holds its old view of the fleet: it would send work to backend
// servers that left meanwhile, on slots whose leases are over. Every task
// asks before it acts, and a timer asks often, so that a gap between two
// askings can only mean that nothing of the process ran.
class late_wakeup {
public:
    explicit late_wakeup(duration limit) : limit_(limit) {}

    // True once for each stop that lasted longer than the limit.
    bool noticed(time_point now);

private:
    duration limit_;
    time_point last_{};
    bool begun_ = false;
};

} // namespace waxwingvale::decision
