#pragma once

#include <functional>
#include <memory>

#include <waxwingvale/kernel/event_loop.hpp>

namespace waxwingvale::kernel {

// Calls a function after every wait of the loop, before any event or timer is
// handled. A process that was stopped notices here that time has jumped,
// before it acts on anything that waits in its sockets.
class wake_hook {
public:
    wake_hook(event_loop& loop, std::function<void()> call);
    ~wake_hook();
    wake_hook(const wake_hook&) = delete;
    wake_hook& operator=(const wake_hook&) = delete;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::kernel
