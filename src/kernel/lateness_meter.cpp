#include <waxwingvale/kernel/lateness_meter.hpp>

#include <algorithm>
#include <utility>

namespace waxwingvale::kernel {

namespace {

constexpr duration period = std::chrono::milliseconds(100);

} // namespace

lateness_meter::lateness_meter(event_loop& loop, timer_service& timers)
    : timers_(timers),
      last_turn_(timers.now()),
      on_turn_(loop, [this] { note_turn(); }),
      last_beat_(timers.now()),
      beating_(timers.every(period, [this](time_point now) { beat(now); })) {}

void lateness_meter::beat(time_point now) {
    longest_ = std::max(longest_, now - last_beat_ - period);
    last_beat_ = now;
}

// The loop turns with each beat at least.
void lateness_meter::note_turn() {
    const auto now = timers_.now();
    held_up_ += std::max(now - last_turn_ - period, duration::zero());
    last_turn_ = now;
}

duration lateness_meter::take_longest() {
    return std::exchange(longest_, duration::zero());
}

} // namespace waxwingvale::kernel
