#include <waxwingvale/kernel/event_loop.hpp>

#include <csignal>
#include <ev.h>
#include <mutex>
#include <utility>
#include <vector>

namespace waxwingvale::kernel {

struct event_loop::state {
    struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
    ev_async wake_up{};
    ev_signal terminate{};
    ev_signal interrupt{};
    ev_signal hangup{};
    ev_prepare before_wait{};
    std::function<void()> termination_handler;
    std::function<void()> hangup_handler;
    std::mutex guard;
    std::vector<std::function<void()>> posted;
    std::vector<std::function<void()>> deferred;
};

namespace {

void run_posted(std::mutex& guard, std::vector<std::function<void()>>& posted) {
    std::vector<std::function<void()>> batch;
    {
        const std::lock_guard<std::mutex> lock(guard);
        batch.swap(posted);
    }
    for (auto& work : batch) {
        work();
    }
}

// What is deferred may defer more.
void run_deferred(std::vector<std::function<void()>>& deferred) {
    while (!deferred.empty()) {
        std::vector<std::function<void()>> batch;
        batch.swap(deferred);
        for (auto& work : batch) {
            work();
        }
    }
}

} // namespace

event_loop::event_loop() : state_(std::make_unique<state>()) {
    // A peer that closes its socket must not end this process.
    std::signal(SIGPIPE, SIG_IGN);
    ev_async_init(&state_->wake_up, [](struct ev_loop*, ev_async* w, int) {
        auto* self = static_cast<state*>(w->data);
        run_posted(self->guard, self->posted);
    });
    state_->wake_up.data = state_.get();
    ev_async_start(state_->loop, &state_->wake_up);
    ev_prepare_init(&state_->before_wait,
                    [](struct ev_loop*, ev_prepare* w, int) {
                        run_deferred(static_cast<state*>(w->data)->deferred);
                    });
    state_->before_wait.data = state_.get();
    ev_prepare_start(state_->loop, &state_->before_wait);
}

event_loop::~event_loop() {
    run_deferred(state_->deferred);
    ev_prepare_stop(state_->loop, &state_->before_wait);
    ev_async_stop(state_->loop, &state_->wake_up);
    ev_signal_stop(state_->loop, &state_->terminate);
    ev_signal_stop(state_->loop, &state_->interrupt);
    ev_signal_stop(state_->loop, &state_->hangup);
    ev_loop_destroy(state_->loop);
}

void event_loop::run() {
    ev_run(state_->loop, 0);
}

void event_loop::run_once(bool wait) {
    ev_run(state_->loop, wait ? EVRUN_ONCE : EVRUN_NOWAIT);
}

void event_loop::stop() {
    ev_break(state_->loop, EVBREAK_ALL);
}

void event_loop::post(std::function<void()> work) {
    {
        const std::lock_guard<std::mutex> lock(state_->guard);
        state_->posted.push_back(std::move(work));
    }
    ev_async_send(state_->loop, &state_->wake_up);
}

void event_loop::defer(std::function<void()> work) {
    state_->deferred.push_back(std::move(work));
}

void event_loop::on_termination(std::function<void()> handler) {
    state_->termination_handler = std::move(handler);
    const auto start = [this](ev_signal& watcher, int signal_number) {
        ev_signal_init(
            &watcher,
            [](struct ev_loop*, ev_signal* w, int) {
                static_cast<state*>(w->data)->termination_handler();
            },
            signal_number);
        watcher.data = state_.get();
        ev_signal_start(state_->loop, &watcher);
    };
    start(state_->terminate, SIGTERM);
    start(state_->interrupt, SIGINT);
}

void event_loop::on_hangup(std::function<void()> handler) {
    state_->hangup_handler = std::move(handler);
    ev_signal_init(
        &state_->hangup,
        [](struct ev_loop*, ev_signal* w, int) {
            static_cast<state*>(w->data)->hangup_handler();
        },
        SIGHUP);
    state_->hangup.data = state_.get();
    ev_signal_start(state_->loop, &state_->hangup);
}

struct ev_loop* event_loop::native() const {
    return state_->loop;
}

} // namespace waxwingvale::kernel
