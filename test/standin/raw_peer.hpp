#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "io/stream_socket.hpp"
#include "standin/listening_socket.hpp"

namespace waxwingvale::standin {

// A loop with real time, run until something holds.
struct loop_fixture {
    kernel::event_loop loop;
    kernel::monotonic_clock clock;
    kernel::timer_service timers{clock, loop};

    // False when it does not hold within a bound far beyond what any run
    // needs.
    bool run_until(const std::function<bool()>& condition);
    // For what is not to happen.
    void run_for(duration time);
};

// One end of a connection whose bytes a test writes and reads by hand.
class raw_connection {
public:
    raw_connection(kernel::event_loop& loop, int descriptor, bool connecting);

    void send(const std::string& bytes);
    void close() { socket_.close(); }
    void reset() { socket_.reset(); }
    void end_writing() { socket_.end_writing(); }
    void pause() { socket_.pause_reading(); }
    void resume() { socket_.resume_reading(); }

    const std::string& received() const { return received_; }
    std::string take_received();
    bool ended() const { return ended_; }
    bool ended_by_reset() const;
    bool received_contains(const std::string& text) const {
        return received_.find(text) != std::string::npos;
    }

private:
    std::string received_;
    bool ended_ = false;
    io::stream_socket socket_;
};

// Connects to a port of this machine.
std::unique_ptr<raw_connection> connect_to(kernel::event_loop& loop,
                                           std::uint16_t port);

// Takes connections and keeps them for the test.
class raw_listener {
public:
    explicit raw_listener(kernel::event_loop& loop);
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    std::uint16_t port() const { return listener_.port(); }
    std::size_t count() const { return connections_.size(); }
    raw_connection& at(std::size_t place) { return *connections_.at(place); }

private:
    std::vector<std::unique_ptr<raw_connection>> connections_;
    listening_socket listener_;
};

} // namespace waxwingvale::standin
