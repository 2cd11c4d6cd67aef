#include <waxwingvale/kernel/turn_meter.hpp>

#include <algorithm>
#include <ev.h>
#include <optional>
#include <utility>

namespace waxwingvale::kernel {

struct turn_meter::state {
    explicit state(const clock& from) : time(from) {}

    struct ev_loop* loop = nullptr;
    const clock& time;
    ev_check after_wait{};
    ev_prepare before_wait{};
    std::optional<time_point> woke;
    duration longest{};
};

turn_meter::turn_meter(event_loop& loop, const clock& time)
    : state_(std::make_unique<state>(time)) {
    state_->loop = loop.native();
    ev_check_init(&state_->after_wait, [](struct ev_loop*, ev_check* w, int) {
        auto* self = static_cast<state*>(w->data);
        self->woke = self->time.now();
    });
    ev_prepare_init(&state_->before_wait, [](struct ev_loop*, ev_prepare* w,
                                             int) {
        auto* self = static_cast<state*>(w->data);
        if (const auto woke = std::exchange(self->woke, std::nullopt)) {
            self->longest = std::max(self->longest, self->time.now() - *woke);
        }
    });
    state_->after_wait.data = state_.get();
    state_->before_wait.data = state_.get();
    // Around whatever else is done in a turn.
    ev_set_priority(&state_->after_wait, EV_MAXPRI);
    ev_set_priority(&state_->before_wait, EV_MINPRI);
    ev_check_start(state_->loop, &state_->after_wait);
    ev_prepare_start(state_->loop, &state_->before_wait);
}

turn_meter::~turn_meter() {
    ev_check_stop(state_->loop, &state_->after_wait);
    ev_prepare_stop(state_->loop, &state_->before_wait);
}

duration turn_meter::take_longest() {
    return std::exchange(state_->longest, duration::zero());
}

} // namespace waxwingvale::kernel
