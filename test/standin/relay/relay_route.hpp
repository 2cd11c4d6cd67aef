#pragma once

#include <cstdint>
#include <ev.h>
#include <list>
#include <memory>
#include <string>

#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/error.hpp>

#include "standin/relay/relay_link.hpp"

namespace waxwingvale::standin {

// What a relay does with the bytes that pass it.
enum class relay_mode {
    pass,
    drop,      // closes what is open and every new connection
    blackhole, // reads and accepts nothing until it passes again
    silent     // connections open now go silent for good; new ones work
};

// One listening port of 127.0.0.1 whose connections are passed on to another.
class relay_route {
public:
    relay_route(kernel::event_loop& loop, kernel::timer_service& timers,
                std::uint16_t target_port);
    ~relay_route();
    relay_route(const relay_route&) = delete;
    relay_route& operator=(const relay_route&) = delete;

    // Port 0 takes a free one.
    result<void> listen(std::uint16_t port);
    std::uint16_t port() const { return port_; }
    std::uint16_t target_port() const { return target_port_; }
    std::size_t connections() const { return links_.size(); }

    void set_target(std::uint16_t port) { target_port_ = port; }
    void set_mode(relay_mode mode);
    void set_delay(duration delay) { delay_ = delay; }

private:
    void accept_one();
    void sweep();

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    std::uint16_t target_port_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    ev_io acceptable_{};
    relay_mode mode_ = relay_mode::pass;
    duration delay_{};
    std::list<std::unique_ptr<relay_link>> links_;
    kernel::timer_service::subscription sweep_;
};

} // namespace waxwingvale::standin
