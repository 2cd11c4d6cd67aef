#pragma once

#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/kernel/turn_meter.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::program {

// Tells of turns of the loop that were too long: nobody was answered in them.
class turn_log {
public:
    turn_log(kernel::event_loop& loop, const kernel::clock& time,
             kernel::timer_service& timers, metrics& counted);

private:
    void look();

    kernel::turn_meter meter_;
    gauge longest_;
    duration longest_so_far_{};
    kernel::timer_service::subscription looking_;
};

} // namespace waxwingvale::program
