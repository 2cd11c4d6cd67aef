#include "waxwing_load/precise_timer.hpp"

#include <algorithm>
#include <cstdint>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>

namespace waxwingvale::load {

namespace {

constexpr std::int64_t us_per_second = 1'000'000;
constexpr std::int64_t ns_per_us = 1000;

} // namespace

precise_timer::precise_timer(kernel::event_loop& loop,
                             std::function<void()> handler)
    : loop_(loop.native()),
      descriptor_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      handler_(std::move(handler)) {
    ev_io_init(
        &watcher_,
        [](struct ev_loop*, ev_io* w, int) {
            std::uint64_t fired = 0;
            if (read(w->fd, &fired, sizeof fired) == sizeof fired) {
                static_cast<precise_timer*>(w->data)->handler_();
            }
        },
        descriptor_, EV_READ);
    watcher_.data = this;
    ev_io_start(loop_, &watcher_);
}

precise_timer::~precise_timer() {
    ev_io_stop(loop_, &watcher_);
    close(descriptor_);
}

void precise_timer::wake_at(time_point moment) const {
    // A moment of zero would disarm the timer.
    const auto us =
        std::max<std::int64_t>(1, moment.time_since_epoch().count());
    itimerspec when{};
    when.it_value.tv_sec = us / us_per_second;
    when.it_value.tv_nsec = us % us_per_second * ns_per_us;
    timerfd_settime(descriptor_, TFD_TIMER_ABSTIME, &when, nullptr);
}

} // namespace waxwingvale::load
