#include <waxwingvale/kernel/timer_service.hpp>

#include <algorithm>
#include <ev.h>
#include <utility>

namespace waxwingvale::kernel {

struct timer_service::entry {
    time_point due;
    duration period; // zero: once
    handler call;
};

struct timer_service::loop_timer {
    struct ev_loop* loop;
    ev_timer watcher{};
    ev_check polled{};
    time_point armed_for{};
    time_point polled_at{}; // when the loop last asked its sockets
};

timer_service::subscription::subscription(timer_service& of,
                                          std::uint64_t number)
    : of_(&of), number_(number) {}

timer_service::subscription::subscription(subscription&& other) noexcept
    : of_(std::exchange(other.of_, nullptr)), number_(other.number_) {}

timer_service::subscription&
timer_service::subscription::operator=(subscription&& other) noexcept {
    if (this != &other) {
        cancel();
        of_ = std::exchange(other.of_, nullptr);
        number_ = other.number_;
    }
    return *this;
}

timer_service::subscription::~subscription() {
    cancel();
}

void timer_service::subscription::cancel() {
    if (of_ != nullptr) {
        of_->remove(number_);
        of_ = nullptr;
    }
}

timer_service::timer_service(const clock& time, event_loop& loop)
    : clock_(time), loop_timer_(std::make_unique<loop_timer>()) {
    loop_timer_->loop = loop.native();
    ev_timer_init(
        &loop_timer_->watcher,
        [](struct ev_loop*, ev_timer* w, int) {
            auto* self = static_cast<timer_service*>(w->data);
            self->fire_due_by(self->loop_timer_->polled_at);
        },
        0., 0.);
    loop_timer_->watcher.data = this;
    ev_check_init(&loop_timer_->polled, [](struct ev_loop*, ev_check* w, int) {
        auto* self = static_cast<timer_service*>(w->data);
        self->loop_timer_->polled_at = self->clock_.now();
    });
    loop_timer_->polled.data = this;
    // Timers come last, and only those that were due when the sockets were
    // asked: in a late loop, what has come is read before a timer decides on
    // its absence.
    ev_set_priority(&loop_timer_->watcher, EV_MINPRI);
    ev_set_priority(&loop_timer_->polled, EV_MAXPRI);
    ev_check_start(loop_timer_->loop, &loop_timer_->polled);
}

timer_service::timer_service(const clock& time) : clock_(time) {}

timer_service::~timer_service() {
    if (loop_timer_) {
        ev_timer_stop(loop_timer_->loop, &loop_timer_->watcher);
        ev_check_stop(loop_timer_->loop, &loop_timer_->polled);
    }
}

timer_service::subscription timer_service::after(duration delay, handler call) {
    return add(delay, duration::zero(), std::move(call));
}

timer_service::subscription timer_service::every(duration period,
                                                 handler call) {
    return add(period, period, std::move(call));
}

timer_service::subscription timer_service::add(duration delay, duration period,
                                               handler call) {
    const auto number = next_number_++;
    auto added = std::make_shared<entry>(
        entry{clock_.now() + delay, period, std::move(call)});
    due_.emplace(added->due, number);
    entries_.emplace(number, std::move(added));
    rearm();
    return subscription(*this, number);
}

void timer_service::remove(std::uint64_t number) {
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return;
    }
    const auto range = due_.equal_range(found->second->due);
    const auto position =
        std::find_if(range.first, range.second,
                     [&](const auto& item) { return item.second == number; });
    if (position != range.second) {
        due_.erase(position);
    }
    entries_.erase(found);
    rearm();
}

void timer_service::fire_due() {
    fire_due_by(clock_.now());
}

void timer_service::fire_due_by(time_point latest) {
    const auto now = clock_.now();
    while (!due_.empty() && due_.begin()->first <= latest) {
        const auto number = due_.begin()->second;
        due_.erase(due_.begin());
        // Held here because the handler may end its own subscription.
        const auto fired = entries_.at(number);
        if (fired->period == duration::zero()) {
            entries_.erase(number);
        } else {
            // From now, not from when it was due: a process that was stopped
            // for a minute is called once, not once for each missed period.
            fired->due = now + fired->period;
            due_.emplace(fired->due, number);
        }
        fired->call(now);
    }
    rearm();
}

// A timer that is armed for too early stays: it fires for nothing at most once,
// while reading the clock and arming anew for every subscription that comes and
// goes would be paid with every request.
void timer_service::rearm() {
    if (!loop_timer_) {
        return;
    }
    // It fires at the end of this turn of the loop, and is armed then. Armed
    // now it would lose that: a loop that subscribes in each turn would never
    // fire any timer.
    if (ev_is_pending(&loop_timer_->watcher)) {
        return;
    }
    const bool armed = ev_is_active(&loop_timer_->watcher) != 0;
    if (due_.empty() ||
        (armed && loop_timer_->armed_for <= due_.begin()->first)) {
        return;
    }
    ev_timer_stop(loop_timer_->loop, &loop_timer_->watcher);
    loop_timer_->armed_for = due_.begin()->first;
    const auto wait =
        std::max(due_.begin()->first - clock_.now(), duration::zero());
    ev_now_update(loop_timer_->loop);
    ev_timer_set(&loop_timer_->watcher,
                 std::chrono::duration<double>(wait).count(), 0.);
    ev_timer_start(loop_timer_->loop, &loop_timer_->watcher);
}

} // namespace waxwingvale::kernel
