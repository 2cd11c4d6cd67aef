#include "standin/relay/relay_link.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace waxwingvale::standin {

namespace {

constexpr std::size_t read_size = 64 * 1024;

bool try_again() {
    return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
}

} // namespace

relay_link::relay_link(kernel::event_loop& loop, kernel::timer_service& timers,
                       const duration& delay, int caller, int target)
    : loop_(loop.native()), timers_(timers), delay_(delay) {
    attach(ends_[0], ends_[1], caller);
    attach(ends_[1], ends_[0], target);
    resume();
}

relay_link::~relay_link() {
    for (auto& one : ends_) {
        ev_io_stop(loop_, &one.readable);
        ev_io_stop(loop_, &one.writable);
        close(one.socket);
    }
}

void relay_link::attach(end& one, end& other, int socket) {
    one.link = this;
    one.other = &other;
    one.socket = socket;
    ev_io_init(
        &one.readable,
        [](struct ev_loop*, ev_io* w, int) {
            auto* ready = static_cast<end*>(w->data);
            ready->link->read_from(*ready);
        },
        socket, EV_READ);
    ev_io_init(
        &one.writable,
        [](struct ev_loop*, ev_io* w, int) {
            auto* ready = static_cast<end*>(w->data);
            ready->link->write_to(*ready);
        },
        socket, EV_WRITE);
    one.readable.data = &one;
    one.writable.data = &one;
}

void relay_link::pause() {
    for (auto& one : ends_) {
        ev_io_stop(loop_, &one.readable);
    }
}

void relay_link::resume() {
    for (auto& one : ends_) {
        if (!silenced_ && !one.read_ended) {
            ev_io_start(loop_, &one.readable);
        }
    }
}

void relay_link::silence() {
    silenced_ = true;
    pause();
}

bool relay_link::over() const {
    const auto ended = [](const end& one) {
        return one.read_ended && one.on_the_way.empty() && one.unsent.empty();
    };
    return failed_ || (ended(ends_[0]) && ended(ends_[1]));
}

void relay_link::read_from(end& one) {
    std::string bytes(read_size, '\0');
    const auto count = recv(one.socket, bytes.data(), bytes.size(), 0);
    if (count < 0 && try_again()) {
        return;
    }
    if (count <= 0) {
        one.read_ended = true;
        failed_ = failed_ || count < 0;
        ev_io_stop(loop_, &one.readable);
    }
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    auto due = timers_.now() + delay_;
    if (!one.on_the_way.empty()) {
        due = std::max(due, one.on_the_way.back().due);
    }
    one.on_the_way.push_back({due, std::move(bytes)});
    deliver_due(one);
}

void relay_link::deliver_due(end& one) {
    const auto now = timers_.now();
    auto& other = *one.other;
    while (!one.on_the_way.empty() && one.on_the_way.front().due <= now) {
        const auto arrived = std::move(one.on_the_way.front());
        one.on_the_way.pop_front();
        other.unsent += arrived.bytes;
        write_to(other);
    }
    if (!one.on_the_way.empty()) {
        one.next_due = timers_.after(one.on_the_way.front().due - now,
                                     [&](time_point) { deliver_due(one); });
    }
}

// Writes what the socket takes; passes an end of stream on after the last.
void relay_link::write_to(end& one) {
    if (!one.unsent.empty()) {
        const auto count = send(one.socket, one.unsent.data(),
                                one.unsent.size(), MSG_NOSIGNAL);
        if (count < 0 && !try_again()) {
            failed_ = true;
            one.unsent.clear();
        }
        one.unsent.erase(0,
                         static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    if (!one.unsent.empty()) {
        ev_io_start(loop_, &one.writable);
        return;
    }
    ev_io_stop(loop_, &one.writable);
    if (one.other->read_ended && one.other->on_the_way.empty()) {
        shutdown(one.socket, SHUT_WR);
    }
}

} // namespace waxwingvale::standin
