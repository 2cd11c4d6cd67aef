#pragma once

#include <tuple>

namespace waxwingvale {

// What a backend server says of its load at the moment it answers.
struct backend_load {
    unsigned running = 0; // requests being worked on
    unsigned waiting = 0; // requests in its own queue
    unsigned slots = 0;
    // How long work takes there at this moment, against the usual: 1 is as
    // usual, 4 is four times as long. Servers share their machines with
    // others, so it changes many times a second.
    double slowness = 1;

    // Whether one more request would have to wait or be refused.
    bool full() const { return running >= slots; }

    friend bool operator==(const backend_load& a, const backend_load& b) {
        return std::tie(a.running, a.waiting, a.slots, a.slowness) ==
               std::tie(b.running, b.waiting, b.slots, b.slowness);
    }
};

} // namespace waxwingvale
