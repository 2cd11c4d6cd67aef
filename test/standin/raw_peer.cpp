#include "standin/raw_peer.hpp"

#include <cerrno>
#include <utility>

namespace waxwingvale::standin {

namespace {

using namespace std::chrono_literals;

constexpr duration patience = 20s;

} // namespace

bool loop_fixture::run_until(const std::function<bool()>& condition) {
    const auto until = clock.now() + patience;
    // Wakes the loop, so that the bound is looked at.
    const auto beat = timers.every(20ms, [](time_point) {});
    while (!condition()) {
        if (clock.now() > until) {
            return false;
        }
        loop.run_once(true);
    }
    return true;
}

void loop_fixture::run_for(duration time) {
    const auto until = clock.now() + time;
    const auto beat = timers.every(5ms, [](time_point) {});
    while (clock.now() < until) {
        loop.run_once(true);
    }
}

raw_connection::raw_connection(kernel::event_loop& loop, int descriptor,
                               bool connecting)
    : socket_(loop, descriptor, connecting,
              {{},
               [this](const char* bytes, std::size_t size) {
                   received_.append(bytes, size);
               },
               [this] { ended_ = true; },
               {}}) {}

void raw_connection::send(const std::string& bytes) {
    socket_.write(bytes, {});
}

std::string raw_connection::take_received() {
    return std::exchange(received_, {});
}

bool raw_connection::ended_by_reset() const {
    return ended_ && socket_.end_reason() == ECONNRESET;
}

std::unique_ptr<raw_connection> connect_to(kernel::event_loop& loop,
                                           std::uint16_t port) {
    return std::make_unique<raw_connection>(
        loop, io::start_connect("127.0.0.1", port).value(), true);
}

raw_listener::raw_listener(kernel::event_loop& loop)
    : listener_(loop, [this, &loop](int descriptor) {
          connections_.push_back(
              std::make_unique<raw_connection>(loop, descriptor, false));
      }) {
    listener_.open(0);
}

} // namespace waxwingvale::standin
