#pragma once

#include <cstddef>
#include <cstdint>
#include <ev.h>
#include <functional>
#include <string>

#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

// What a link's socket tells its owner. on_end comes once, never from within
// a call of the owner's.
struct link_socket_handlers {
    std::function<void()> on_connected;
    std::function<void(const char* bytes, std::size_t size)> on_bytes;
    std::function<void()> on_end;
};

// A non-blocking TCP connection on libev, without Nagle's delay, and what
// waits to go out on it.
class link_socket {
public:
    // Takes over the descriptor. `connecting` says that its connect() is still
    // under way.
    link_socket(kernel::event_loop& loop, int descriptor, bool connecting,
                link_socket_handlers handlers);
    ~link_socket();
    link_socket(const link_socket&) = delete;
    link_socket& operator=(const link_socket&) = delete;

    void write(const char* bytes, std::size_t size);
    std::size_t waiting() const { return outgoing_.size() - outgoing_begin_; }
    std::uint64_t bytes_in() const { return bytes_in_; }
    std::uint64_t bytes_out() const { return bytes_out_; }
    void close();
    // Neither reads nor writes any more; the connection stays open.
    void stop_watching() { ev_io_stop(loop_, &watcher_); }

private:
    void on_ready(int events);
    void finish_connect();
    void read_some();
    void flush();
    void watch();
    void end();

    struct ev_loop* loop_;
    ev_io watcher_{};
    int descriptor_;
    bool connecting_;
    link_socket_handlers handlers_;
    std::string outgoing_;
    std::size_t outgoing_begin_ = 0;
    std::uint64_t bytes_in_ = 0;
    std::uint64_t bytes_out_ = 0;
};

// Starts connecting to an IP number; the descriptor, or why it cannot be.
result<int> start_connect(const std::string& host, std::uint16_t port);

// A listening socket at an IP number.
result<int> open_listener(const std::string& address, std::uint16_t port);

// The port a socket is bound to.
std::uint16_t bound_port(int descriptor);

// The next waiting connection, or -1.
int accept_connection(int listener);

} // namespace waxwingvale::io
