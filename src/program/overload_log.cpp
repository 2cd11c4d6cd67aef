#include <waxwingvale/program/overload_log.hpp>

#include <string>
#include <utility>

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::program {

namespace {

constexpr duration line_period = std::chrono::seconds(1);

} // namespace

overload_log::overload_log(const kernel::timer_service& timers, metrics& all)
    : timers_(timers) {
    using forwarding::overload_limit;
    for (const auto limit :
         {overload_limit::memory, overload_limit::connections,
          overload_limit::descriptors}) {
        limits_.emplace(limit, of_limit{all.add_counter(
                                   "waxwing_callers_turned_away_total",
                                   "Connections refused or closed at a limit.",
                                   {{"limit", to_string(limit)}})});
    }
}

void overload_log::record(const forwarding::turned_away& what) {
    auto& of = limits_.at(what.limit);
    of.counted.add();
    const auto now = timers_.now();
    if (now < of.next_line) {
        ++of.since_line;
        return;
    }
    of.next_line = now + line_period;
    log_warning(
        "caller_turned_away",
        {{"limit", to_string(what.limit)},
         {"peer", what.peer},
         {"bytes", std::to_string(what.bytes)},
         {"without_line", std::to_string(std::exchange(of.since_line, 0))}});
}

} // namespace waxwingvale::program
