#include "standin/relay/relay_route.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace waxwingvale::standin {

namespace {

constexpr int backlog = 512;
constexpr duration sweep_interval = std::chrono::milliseconds(20);

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int new_socket() {
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

relay_route::relay_route(kernel::event_loop& loop,
                         kernel::timer_service& timers,
                         std::uint16_t target_port)
    : loop_(loop), timers_(timers), target_port_(target_port) {}

relay_route::~relay_route() {
    if (listener_ >= 0) {
        ev_io_stop(loop_.native(), &acceptable_);
        close(listener_);
    }
}

result<void> relay_route::listen(std::uint16_t port) {
    listener_ = new_socket();
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    socklen_t size = sizeof address;
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, raw, size) != 0 || ::listen(listener_, backlog) != 0 ||
        getsockname(listener_, raw, &size) != 0) {
        return error{error_code::unavailable, "listen for the relay",
                     std::to_string(port), "the port is in use"};
    }
    port_ = ntohs(address.sin_port);
    ev_io_init(
        &acceptable_,
        [](struct ev_loop*, ev_io* w, int) {
            static_cast<relay_route*>(w->data)->accept_one();
        },
        listener_, EV_READ);
    acceptable_.data = this;
    ev_io_start(loop_.native(), &acceptable_);
    sweep_ = timers_.every(sweep_interval, [this](time_point) { sweep(); });
    return success();
}

void relay_route::set_mode(relay_mode mode) {
    mode_ = mode;
    if (mode == relay_mode::blackhole) {
        ev_io_stop(loop_.native(), &acceptable_);
    } else {
        ev_io_start(loop_.native(), &acceptable_);
    }
    if (mode == relay_mode::drop) {
        links_.clear();
    }
    for (auto& link : links_) {
        switch (mode) {
        case relay_mode::blackhole:
            link->pause();
            break;
        case relay_mode::silent:
            link->silence();
            break;
        default:
            link->resume();
        }
    }
}

void relay_route::accept_one() {
    const int caller =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller < 0) {
        return;
    }
    if (mode_ == relay_mode::drop) {
        close(caller);
        return;
    }
    const int target = new_socket();
    auto address = loopback(target_port_);
    // Goes on in the background; a failure shows when it is read from.
    static_cast<void>(
        connect(target, reinterpret_cast<sockaddr*>(&address), sizeof address));
    links_.push_back(
        std::make_unique<relay_link>(loop_, timers_, delay_, caller, target));
}

void relay_route::sweep() {
    links_.remove_if([](const auto& link) { return link->over(); });
}

} // namespace waxwingvale::standin
