#pragma once

#include <cstddef>
#include <map>

#include <waxwingvale/forwarding/overload_guard.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::program {

// Counts callers that were turned away at a limit of the instance, and logs one
// of them a second for each limit, with how many had no line of their own.
class overload_log {
public:
    overload_log(const kernel::timer_service& timers, metrics& all);
    void record(const forwarding::turned_away& what);

private:
    struct of_limit {
        counter counted;
        time_point next_line{};
        std::size_t since_line = 0;
    };

    const kernel::timer_service& timers_;
    std::map<forwarding::overload_limit, of_limit> limits_;
};

} // namespace waxwingvale::program
