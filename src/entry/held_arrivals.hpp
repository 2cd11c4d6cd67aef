#pragma once

#include <functional>
#include <list>
#include <optional>

#include <waxwingvale/forwarding/caller_exchange.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "entry/detour_headers.hpp"

namespace waxwingvale::entry {

// A request as it came: from a caller, or from a peer that hands it on.
struct arrival {
    forwarding::caller_exchange_ptr caller;
    std::optional<detour_request> detoured;
    time_point at{};
};

// Requests that came while the view does not prove which service is to run
// them. They wait for a moment, since proof takes a round trip after a late
// wake-up; then they are refused as not run.
class held_arrivals {
public:
    using handler = std::function<void(arrival)>;

    // `refuse` is called with what has waited in vain.
    held_arrivals(kernel::timer_service& timers, handler refuse);

    void hold(arrival came);
    // Hands over all that wait, in the order in which they came.
    void release(const handler& take);
    std::size_t size() const { return held_.size(); }

private:
    struct held {
        arrival came;
        duration waited{}; // while the process ran
    };

    void look(time_point now);
    void arm();

    kernel::timer_service& timers_;
    handler refuse_;
    std::list<held> held_;
    time_point looked_at_;
    kernel::timer_service::subscription looking_;
};

} // namespace waxwingvale::entry
