#pragma once

#include <functional>
#include <memory>

struct ev_loop;

namespace waxwingvale::kernel {

// One libev loop. Each task lives on one loop and is touched by its thread
// only; post() is the one way in from other threads.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs until stop().
    void run();
    // Handles what is ready now, or waits for one event when `wait`.
    void run_once(bool wait);
    void stop();

    // Runs the function on the loop's thread, soon. Safe from any thread.
    void post(std::function<void()> work);

    // Runs the function once the handlers of this turn are done, before the
    // loop waits again. For the loop's own thread only, and cheaper than
    // post(): nothing is told to the kernel. What is destroyed here may still
    // be further up the stack of the caller.
    void defer(std::function<void()> work);

    // Calls the handler once when SIGTERM or SIGINT arrives.
    void on_termination(std::function<void()> handler);

    // Calls the handler whenever SIGHUP arrives.
    void on_hangup(std::function<void()> handler);

    // For code that registers libev watchers of its own.
    struct ev_loop* native() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::kernel
