#pragma once

#include <cstdint>
#include <functional>

#include <waxwingvale/forwarding/caller_server.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/program/program_frame.hpp>
#include <waxwingvale/steer/steering_protocol.hpp>

namespace waxwingvale::steer {

// Tells callers which addresses to use: an HTTP server whose answers are made
// by the steering protocol in use from the last view.
class steer_service {
public:
    // Finds the bus by its name.
    steer_service(const program::program_environment& environment,
                  steering_protocol& protocol);

    result<void> start();
    std::uint16_t port() const { return callers_.port(); }
    void stop(std::function<void()> stopped);

private:
    program::program_environment environment_;
    steering_protocol& protocol_;
    program::counter asked_;
    forwarding::caller_server callers_;
    std::uint64_t askings_ = 0;
    time_point started_{};
    kernel::timer_service::subscription drain_check_;
};

} // namespace waxwingvale::steer
