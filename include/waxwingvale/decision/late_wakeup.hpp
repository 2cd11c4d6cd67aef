#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Detects that this process was suspended for a long time. After a suspension
// its view of the fleet is stale: it would send requests to backend servers
// that have left meanwhile and use slots whose leases have expired. Every task
// calls detect() before it acts, and a timer calls it often, so that a long gap
// between two calls can only mean that the whole process was not running.
class late_wakeup {
public:
    explicit late_wakeup(duration limit) : limit_(limit) {}

    // Returns true once for each gap between calls that exceeds the limit.
    bool detect(time_point now);

private:
    duration limit_;
    time_point last_{};
    bool started_ = false;
};

} // namespace waxwingvale::decision
