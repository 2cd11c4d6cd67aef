#pragma once

#include <cstddef>
#include <cstdint>
#include <ev.h>
#include <functional>
#include <string>
#include <string_view>

#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::io {

// What a socket tells its owner. None is called from within a call of the
// owner's; on_end comes once. Handlers that are empty are not called.
struct stream_socket_handlers {
    std::function<void()> on_connected;
    std::function<void(const char* bytes, std::size_t size)> on_bytes;
    std::function<void()> on_end;
    // All that waited to go out has been handed to the kernel.
    std::function<void()> on_drained;
};

// A non-blocking TCP connection on libev, without Nagle's delay, and what
// waits to go out on it.
class stream_socket {
public:
    // Takes over the descriptor. `connecting` says that its connect() is still
    // under way.
    stream_socket(kernel::event_loop& loop, int descriptor, bool connecting,
                  stream_socket_handlers handlers);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void write(const char* bytes, std::size_t size);
    // Two pieces that go out together: a head and the body after it.
    void write(std::string_view first, std::string_view second);
    std::size_t waiting() const { return outgoing_.size() - outgoing_begin_; }
    // Bytes of memory that what waits takes.
    std::size_t buffered() const { return outgoing_.capacity(); }
    std::uint64_t bytes_in() const { return bytes_in_; }
    std::uint64_t bytes_out() const { return bytes_out_; }
    // The system's number for what ended the connection, whether a read or a
    // write has met it; 0 when the peer closed it in order.
    int end_reason() const { return end_reason_; }
    // Takes no more bytes until reading is resumed, so that a peer that sends
    // faster than its bytes are used is held back by its own window. The
    // peer's close is not told meanwhile.
    void pause_reading();
    void resume_reading();
    bool reading() const { return reading_; }
    // Reads what has come and waits to be read, as the loop would later; false
    // once nothing is left, the connection has ended, or reading is paused.
    // May call on_bytes and on_end.
    bool read_now();
    // Bytes handed to the system that the peer has not confirmed.
    std::size_t unconfirmed() const;
    // Whether the peer has closed its side or reset the connection, as far as
    // has come here, even if this has not been read yet.
    bool peer_has_closed() const;
    // Tells the peer that nothing more will be written.
    void end_writing();
    // Drops what waits and ends the connection with a reset, so that the peer
    // cannot take what it got for the whole.
    void reset();
    void close();
    // Neither reads nor writes any more; the connection stays open.
    void stop_watching() { ev_io_stop(loop_, &watcher_); }

private:
    void on_ready(int events);
    void finish_connect();
    bool read_some();
    void flush();
    void watch();
    void end_of_bytes();
    void end(int reason);

    struct ev_loop* loop_;
    ev_io watcher_{};
    int descriptor_;
    bool connecting_;
    bool reading_ = true;
    bool ended_ = false;
    int end_reason_ = 0;
    int write_failure_ = 0; // the system's number; nothing goes out after it
    stream_socket_handlers handlers_;
    std::string outgoing_;
    std::size_t outgoing_begin_ = 0;
    std::uint64_t bytes_in_ = 0;
    std::uint64_t bytes_out_ = 0;
};

// Ends a connection whose peer no longer confirms what was sent to it, or does
// not answer the system's own probes, after so long. Without this a connection
// to an instance that lost its power is open for many minutes.
void limit_silence(int descriptor, duration limit);

// Starts connecting to an IP number; the descriptor, or why it cannot be:
// resource_exhausted at a limit of this machine, which shows nothing of the
// peer, and refused where nothing listens.
result<int> start_connect(const std::string& host, std::uint16_t port);

// A listening socket at an IP number.
result<int> open_listener(const std::string& address, std::uint16_t port);

// Connections that a listener takes from now on let their peers send so many
// bytes ahead of their being read.
void limit_receive_buffer(int listener, std::size_t bytes);

// Whether the system's number tells of a limit of this process or its machine,
// which shows nothing of a peer.
bool is_own_limit(int number);

// The port a socket is bound to.
std::uint16_t bound_port(int descriptor);

// The next waiting connection, or -1 with the system's number in errno. The
// peer's IP number is told when asked for.
int accept_connection(int listener, std::string* peer = nullptr);

} // namespace waxwingvale::io
