#include <waxwingvale/kernel/wake_hook.hpp>

#include <ev.h>
#include <utility>

namespace waxwingvale::kernel {

struct wake_hook::state {
    struct ev_loop* loop = nullptr;
    ev_check watcher{};
    std::function<void()> call;
};

wake_hook::wake_hook(event_loop& loop, std::function<void()> call)
    : state_(std::make_unique<state>()) {
    state_->loop = loop.native();
    state_->call = std::move(call);
    ev_check_init(&state_->watcher, [](struct ev_loop*, ev_check* w, int) {
        static_cast<state*>(w->data)->call();
    });
    state_->watcher.data = state_.get();
    // libev handles pending events by priority; all others have the default.
    ev_set_priority(&state_->watcher, EV_MAXPRI);
    ev_check_start(state_->loop, &state_->watcher);
}

wake_hook::~wake_hook() {
    ev_check_stop(state_->loop, &state_->watcher);
}

} // namespace waxwingvale::kernel
