#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::kernel {

// Tells the time; tests replace it by one they move by hand.
class clock {
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
};

// The machine's monotonic clock, read with clock_gettime(CLOCK_MONOTONIC). It
// goes on while the process is stopped, so a late wake-up shows as a jump.
class monotonic_clock : public clock {
public:
    time_point now() const override;
};

// A clock that stands still until it is moved.
class manual_clock : public clock {
public:
    time_point now() const override { return now_; }
    void advance(duration by) { now_ += by; }

private:
    time_point now_{};
};

} // namespace waxwingvale::kernel
