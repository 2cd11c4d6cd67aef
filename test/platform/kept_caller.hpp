#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "io/stream_socket.hpp"

namespace waxwingvale::platform {

// A caller that keeps its connection to one instance, asks on it again and
// again, and opens another one only when that has ended. Each request has a
// name of its own, by which the instance's log lines call it.
class kept_caller {
public:
    struct habits {
        std::size_t body_bytes = 0; // in two pieces; 0: it reads, without one
        bool reads_slowly = false;
    };
    // Names of requests, by what the caller saw of them.
    struct results {
        std::vector<std::string> served;   // answered with 200
        std::vector<std::string> answered; // with another status
        std::vector<std::string> closed;   // before any byte of an answer
        std::vector<std::string> cut;      // amid the answer
        std::size_t refused = 0; // there was no connection: nothing was sent
    };

    // Its requests are called `name`-number. `seed` decides its pauses.
    kept_caller(kernel::event_loop& loop, kernel::timer_service& timers,
                std::uint16_t port, std::string name, habits has,
                std::uint32_t seed);

    // Asks no more.
    void finish() { finished_ = true; }
    // Has finished, and waits for no answer.
    bool at_rest() const { return finished_ && asked_.empty(); }
    const results& seen() const { return seen_; }

private:
    void rest(duration least, duration most);
    void ask();
    void open();
    void send_first_piece();
    void send_rest();
    void take(const char* bytes, std::size_t size);
    void read_slowly();
    void on_answer(const std::string& head);
    void on_end();
    duration between(duration least, duration most);

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    std::uint16_t port_;
    std::string name_;
    habits habits_;
    std::mt19937 random_;
    std::unique_ptr<io::stream_socket> socket_;
    bool usable_ = false; // the connection may be asked on
    bool connected_ = false;
    bool all_sent_ = false; // the request that was asked last
    bool finished_ = false;
    std::size_t count_ = 0;
    std::string asked_; // the name of the request that waits; empty: none
    std::string received_;
    results seen_;
    kernel::timer_service::subscription next_;
    kernel::timer_service::subscription reading_;
};

} // namespace waxwingvale::platform
