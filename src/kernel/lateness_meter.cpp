#include <waxwingvale/kernel/lateness_meter.hpp>

#include <algorithm>
#include <utility>

namespace waxwingvale::kernel {

namespace {

constexpr duration period = std::chrono::milliseconds(100);

} // namespace

lateness_meter::lateness_meter(timer_service& timers)
    : last_beat_(timers.now()),
      beating_(timers.every(period, [this](time_point now) { beat(now); })) {}

void lateness_meter::beat(time_point now) {
    longest_ = std::max(longest_, now - last_beat_ - period);
    last_beat_ = now;
}

duration lateness_meter::take_longest() {
    return std::exchange(longest_, duration::zero());
}

} // namespace waxwingvale::kernel
