#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <ev.h>
#include <string>

#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::standin {

// One relayed connection: two sockets whose bytes are passed on in order, each
// after the delay that held when it was read.
class relay_link {
public:
    // Takes both sockets, which must not block.
    relay_link(kernel::event_loop& loop, kernel::timer_service& timers,
               const duration& delay, int caller, int target);
    ~relay_link();
    relay_link(const relay_link&) = delete;
    relay_link& operator=(const relay_link&) = delete;

    // Reads nothing until resumed: bytes wait in the sockets, as they do
    // while a network is parted.
    void pause();
    void resume();
    // Paused for good.
    void silence();
    // Both directions have ended, or one failed.
    bool over() const;

private:
    struct parcel {
        time_point due;
        std::string bytes; // empty: the sender has ended
    };
    struct end {
        relay_link* link = nullptr;
        end* other = nullptr;
        int socket = -1;
        ev_io readable{};
        ev_io writable{};
        std::string unsent; // bytes to be written to this socket
        bool read_ended = false;
        std::deque<parcel> on_the_way; // read here, for the other
        kernel::timer_service::subscription next_due;
    };

    void attach(end& one, end& other, int socket);
    void read_from(end& one);
    void deliver_due(end& one);
    void write_to(end& one);

    struct ev_loop* loop_;
    kernel::timer_service& timers_;
    const duration& delay_;
    std::array<end, 2> ends_;
    bool silenced_ = false;
    bool failed_ = false;
};

} // namespace waxwingvale::standin
