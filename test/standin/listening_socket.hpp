#pragma once

#include <cstdint>
#include <ev.h>
#include <functional>

#include <waxwingvale/kernel/event_loop.hpp>

namespace waxwingvale::standin {

// Listens on a port of 127.0.0.1 and hands over each connection that comes.
class listening_socket {
public:
    // The handler gets a descriptor, which it owns.
    using handler = std::function<void(int descriptor)>;

    listening_socket(kernel::event_loop& loop, handler on_connection);
    ~listening_socket();
    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

    // Port 0 takes a free one. Throws std::runtime_error when that fails.
    void open(std::uint16_t port);
    // Whoever connects from now on is refused.
    void close();
    std::uint16_t port() const { return port_; }

private:
    void accept();

    kernel::event_loop& loop_;
    handler on_connection_;
    std::uint16_t port_ = 0;
    int descriptor_ = -1;
    ev_io accepting_{};
};

} // namespace waxwingvale::standin
