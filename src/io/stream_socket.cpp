#include "io/stream_socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace waxwingvale::io {

namespace {

constexpr std::size_t read_chunk = 64 * 1024;
constexpr int listen_backlog = 512;

struct socket_address {
    sockaddr_storage storage{};
    socklen_t size = 0;

    const sockaddr* generic() const {
        return reinterpret_cast<const sockaddr*>(&storage);
    }
};

error_code code_of_connect(int number) {
    const bool no_port = number == EADDRNOTAVAIL || number == EAGAIN;
    if (is_own_limit(number) || no_port) {
        return error_code::resource_exhausted;
    }
    return number == ECONNREFUSED ? error_code::refused
                                  : error_code::unavailable;
}

error connect_error(const char* step, const std::string& peer, int number) {
    return {code_of_connect(number), step, peer, std::strerror(number)};
}

error listen_error(const char* step, const std::string& peer, int number) {
    return {error_code::unavailable, step, peer, std::strerror(number)};
}

// IPv4 or IPv6 numbers; names are not looked up.
result<socket_address> to_address(const std::string& host, std::uint16_t port) {
    socket_address address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        address.size = sizeof(sockaddr_in6);
        return address;
    }
    return error{error_code::invalid_argument, "read address", host,
                 "not an IP number"};
}

std::string ip_number(const socket_address& of) {
    char text[INET6_ADDRSTRLEN] = {};
    const void* number = nullptr;
    if (of.generic()->sa_family == AF_INET) {
        number = &reinterpret_cast<const sockaddr_in*>(&of.storage)->sin_addr;
    } else {
        number = &reinterpret_cast<const sockaddr_in6*>(&of.storage)->sin6_addr;
    }
    inet_ntop(of.generic()->sa_family, number, text, sizeof(text));
    return text;
}

void set_no_delay(int descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool is_transient(int number) {
    return number == EAGAIN || number == EWOULDBLOCK || number == EINTR;
}

} // namespace

bool is_own_limit(int number) {
    return number == EMFILE || number == ENFILE || number == ENOBUFS ||
           number == ENOMEM;
}

void limit_receive_buffer(int listener, std::size_t bytes) {
    const int size = static_cast<int>(bytes);
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void limit_silence(int descriptor, duration limit) {
    const auto milliseconds = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof(milliseconds));
    // The option above acts only while something is unconfirmed; probes of
    // the system see to that on a connection that waits.
    const int on = 1;
    const int idle_seconds = 1;
    const int probe_seconds = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds,
               sizeof(idle_seconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds,
               sizeof(probe_seconds));
}

result<int> start_connect(const std::string& host, std::uint16_t port) {
    const auto address = to_address(host, port);
    if (!address) {
        return address.error();
    }
    const auto peer = host + ":" + std::to_string(port);
    const int descriptor =
        ::socket(address.value().generic()->sa_family,
                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return connect_error("open socket", peer, errno);
    }
    set_no_delay(descriptor);
    if (::connect(descriptor, address.value().generic(),
                  address.value().size) != 0 &&
        errno != EINPROGRESS) {
        const int number = errno;
        ::close(descriptor);
        return connect_error("connect", peer, number);
    }
    return descriptor;
}

result<int> open_listener(const std::string& address, std::uint16_t port) {
    const auto where = to_address(address, port);
    if (!where) {
        return where.error();
    }
    const auto peer = address + ":" + std::to_string(port);
    const int descriptor =
        ::socket(where.value().generic()->sa_family,
                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return listen_error("open socket", peer, errno);
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(descriptor, where.value().generic(), where.value().size) != 0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        const int number = errno;
        ::close(descriptor);
        return listen_error("listen", peer, number);
    }
    return descriptor;
}

std::uint16_t bound_port(int descriptor) {
    socket_address address;
    address.size = sizeof(address.storage);
    auto* generic = reinterpret_cast<sockaddr*>(&address.storage);
    if (::getsockname(descriptor, generic, &address.size) != 0) {
        return 0;
    }
    // The port lies at the same place for both address families.
    return ntohs(reinterpret_cast<sockaddr_in*>(generic)->sin_port);
}

int accept_connection(int listener, std::string* peer) {
    socket_address from;
    from.size = sizeof(from.storage);
    auto* generic = reinterpret_cast<sockaddr*>(&from.storage);
    const int descriptor =
        ::accept4(listener, generic, &from.size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return descriptor;
    }
    set_no_delay(descriptor);
    if (peer != nullptr) {
        *peer = ip_number(from);
    }
    return descriptor;
}

stream_socket::stream_socket(kernel::event_loop& loop, int descriptor,
                             bool connecting, stream_socket_handlers handlers)
    : loop_(loop.native()),
      descriptor_(descriptor),
      connecting_(connecting),
      handlers_(std::move(handlers)) {
    ev_io_init(
        &watcher_,
        [](struct ev_loop*, ev_io* w, int events) {
            static_cast<stream_socket*>(w->data)->on_ready(events);
        },
        descriptor_, connecting_ ? EV_WRITE : EV_READ);
    watcher_.data = this;
    ev_io_start(loop_, &watcher_);
}

stream_socket::~stream_socket() {
    close();
}

void stream_socket::reset() {
    if (descriptor_ >= 0) {
        const linger at_once{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof(at_once));
        close();
    }
}

void stream_socket::close() {
    if (descriptor_ >= 0) {
        ev_io_stop(loop_, &watcher_);
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void stream_socket::write(const char* bytes, std::size_t size) {
    write(std::string_view(bytes, size), {});
}

void stream_socket::write(std::string_view first, std::string_view second) {
    if (descriptor_ < 0) {
        return;
    }
    const bool was_idle = waiting() == 0;
    outgoing_.append(first);
    outgoing_.append(second);
    if (was_idle && !connecting_) {
        flush();
    }
}

void stream_socket::pause_reading() {
    reading_ = false;
    watch();
}

void stream_socket::resume_reading() {
    reading_ = true;
    watch();
}

bool stream_socket::peer_has_closed() const {
    if (descriptor_ < 0) {
        return true;
    }
    pollfd asked{descriptor_, POLLIN | POLLRDHUP, 0};
    if (::poll(&asked, 1, 0) <= 0) {
        return false;
    }
    if ((asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        return true;
    }
    // Not every system tells of a close by the flag.
    char next = 0;
    const auto got =
        ::recv(descriptor_, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && !is_transient(errno));
}

void stream_socket::end_writing() {
    if (descriptor_ >= 0) {
        ::shutdown(descriptor_, SHUT_WR);
    }
}

void stream_socket::on_ready(int events) {
    if (connecting_) {
        finish_connect();
        return;
    }
    if ((events & EV_WRITE) != 0) {
        flush();
        if (waiting() == 0 && handlers_.on_drained) {
            handlers_.on_drained();
        }
    }
    // The handler before may have closed the socket, or paused reading.
    if ((events & EV_READ) != 0 && descriptor_ >= 0 && reading_) {
        read_some();
    }
}

void stream_socket::finish_connect() {
    int number = 0;
    socklen_t size = sizeof(number);
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &number, &size);
    if (number != 0) {
        end(number);
        return;
    }
    connecting_ = false;
    flush();
    if (handlers_.on_connected) {
        handlers_.on_connected();
    }
}

bool stream_socket::read_now() {
    const bool can_read =
        descriptor_ >= 0 && !connecting_ && !ended_ && reading_;
    return can_read && read_some();
}

std::size_t stream_socket::unconfirmed() const {
    int bytes = 0;
    const bool known =
        descriptor_ >= 0 && ::ioctl(descriptor_, SIOCOUTQ, &bytes) == 0;
    return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

// Whether bytes were read.
bool stream_socket::read_some() {
    std::array<char, read_chunk> buffer;
    const auto got = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (got > 0) {
        bytes_in_ += static_cast<std::uint64_t>(got);
        handlers_.on_bytes(buffer.data(), static_cast<std::size_t>(got));
    } else if (got == 0) {
        end_of_bytes();
    } else if (!is_transient(errno)) {
        end(errno);
    }
    return got > 0;
}

// What the peer sent before a connection broke is read all the same: a failed
// write ends nothing by itself.
void stream_socket::flush() {
    while (waiting() > 0 && write_failure_ == 0) {
        const auto sent =
            ::send(descriptor_, outgoing_.data() + outgoing_begin_, waiting(),
                   MSG_NOSIGNAL);
        if (sent < 0) {
            write_failure_ = is_transient(errno) ? 0 : errno;
            break;
        }
        outgoing_begin_ += static_cast<std::size_t>(sent);
        bytes_out_ += static_cast<std::uint64_t>(sent);
    }
    if (waiting() == 0 || outgoing_begin_ > read_chunk) {
        outgoing_.erase(0, outgoing_begin_);
        outgoing_begin_ = 0;
    }
    if (waiting() == 0 && outgoing_.capacity() > read_chunk) {
        std::string().swap(outgoing_);
    }
    watch();
}

void stream_socket::watch() {
    if (descriptor_ < 0 || connecting_) {
        return;
    }
    const bool writes = waiting() > 0 && write_failure_ == 0;
    const int wanted = (reading_ ? EV_READ : 0) | (writes ? EV_WRITE : 0);
    if (wanted != (watcher_.events & (EV_READ | EV_WRITE))) {
        ev_io_stop(loop_, &watcher_);
        ev_io_set(&watcher_, descriptor_, wanted);
        ev_io_start(loop_, &watcher_);
    }
}

// The system tells of an error once. If a write was told, reads find an end as
// if the peer had closed in order. It has done so only where the write failed
// since the peer takes nothing more, which it may once its side is closed.
void stream_socket::end_of_bytes() {
    const bool closed_in_order = write_failure_ == 0 || write_failure_ == EPIPE;
    end(closed_in_order ? 0 : write_failure_);
}

void stream_socket::end(int reason) {
    end_reason_ = reason;
    ended_ = true;
    ev_io_stop(loop_, &watcher_);
    if (handlers_.on_end) {
        handlers_.on_end();
    }
}

} // namespace waxwingvale::io
