#include "standin/listening_socket.hpp"

#include <stdexcept>
#include <unistd.h>
#include <utility>

#include "io/stream_socket.hpp"

namespace waxwingvale::standin {

listening_socket::listening_socket(kernel::event_loop& loop,
                                   handler on_connection)
    : loop_(loop), on_connection_(std::move(on_connection)) {}

listening_socket::~listening_socket() {
    close();
}

void listening_socket::open(std::uint16_t port) {
    close();
    const auto opened = io::open_listener("127.0.0.1", port);
    if (!opened) {
        throw std::runtime_error(to_string(opened.error()));
    }
    descriptor_ = opened.value();
    port_ = io::bound_port(descriptor_);
    ev_io_init(
        &accepting_,
        [](struct ev_loop*, ev_io* w, int) {
            static_cast<listening_socket*>(w->data)->accept();
        },
        descriptor_, EV_READ);
    accepting_.data = this;
    ev_io_start(loop_.native(), &accepting_);
}

void listening_socket::close() {
    if (descriptor_ >= 0) {
        ev_io_stop(loop_.native(), &accepting_);
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void listening_socket::accept() {
    const int descriptor = io::accept_connection(descriptor_);
    if (descriptor >= 0) {
        on_connection_(descriptor);
    }
}

} // namespace waxwingvale::standin
