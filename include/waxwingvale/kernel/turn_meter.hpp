#pragma once

#include <memory>

#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/kernel/event_loop.hpp>

namespace waxwingvale::kernel {

// Measures for how long the loop handles events without looking for new ones:
// from each wake-up until it waits again. Nobody is answered meanwhile.
class turn_meter {
public:
    turn_meter(event_loop& loop, const clock& time);
    ~turn_meter();
    turn_meter(const turn_meter&) = delete;
    turn_meter& operator=(const turn_meter&) = delete;

    // The longest turn since the last call. The one under way counts when it
    // has ended.
    duration take_longest();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::kernel
