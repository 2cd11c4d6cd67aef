#include "entry/held_arrivals.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// Proof comes by the platform's answer, or a peer's.
constexpr duration longest_wait = 100ms;
// By the clock, however long the process stands still meanwhile.
constexpr duration longest_time_held = 2s;
constexpr duration look_period = 20ms;

} // namespace

held_arrivals::held_arrivals(kernel::timer_service& timers, handler refuse)
    : timers_(timers), refuse_(std::move(refuse)), looked_at_(timers.now()) {}

void held_arrivals::hold(arrival came) {
    held_.push_back({std::move(came), duration::zero()});
    if (held_.size() == 1) {
        looked_at_ = timers_.now();
        arm();
    }
}

void held_arrivals::release(const handler& take) {
    looking_.cancel();
    for (auto& each : std::exchange(held_, {})) {
        if (!each.came.caller->abandoned()) {
            take(std::move(each.came));
        }
    }
}

void held_arrivals::arm() {
    looking_ =
        timers_.after(look_period, [this](time_point now) { look(now); });
}

// What is late of a look is time for which the process did not run.
void held_arrivals::look(time_point now) {
    const auto ran = std::min(now - looked_at_, look_period);
    looked_at_ = now;
    std::list<held> ended;
    for (auto at = held_.begin(); at != held_.end();) {
        const auto next = std::next(at);
        at->waited += ran;
        const bool over = at->waited >= longest_wait ||
                          now - at->came.at >= longest_time_held ||
                          at->came.caller->abandoned();
        if (over) {
            ended.splice(ended.end(), held_, at);
        }
        at = next;
    }
    if (!held_.empty()) {
        arm();
    }
    for (auto& each : ended) {
        if (!each.came.caller->abandoned()) {
            refuse_(std::move(each.came));
        }
    }
}

} // namespace waxwingvale::entry
