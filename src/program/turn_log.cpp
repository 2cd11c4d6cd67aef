#include <waxwingvale/program/turn_log.hpp>

#include <algorithm>
#include <chrono>
#include <string>

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::program {

namespace {

using namespace std::chrono_literals;

constexpr duration look_period = 1s;
// Callers notice a wait of that length.
constexpr duration longest_ordinary_turn = 100ms;

} // namespace

turn_log::turn_log(kernel::event_loop& loop, const kernel::clock& time,
                   kernel::timer_service& timers, metrics& counted)
    : meter_(loop, time),
      longest_(counted.add_gauge("waxwing_longest_turn_seconds",
                                 "Longest turn of the loop since the start.")),
      looking_(timers.every(look_period, [this](time_point) { look(); })) {}

void turn_log::look() {
    const auto longest = meter_.take_longest();
    if (longest > longest_so_far_) {
        longest_so_far_ = longest;
        longest_.set(std::chrono::duration<double>(longest).count());
    }
    if (longest >= longest_ordinary_turn) {
        log_warning("long_turn",
                    {{"longest_ms", std::to_string(longest / 1ms)}});
    }
}

} // namespace waxwingvale::program
