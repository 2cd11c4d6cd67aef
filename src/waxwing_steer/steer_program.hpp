#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/program/program_frame.hpp>
#include <waxwingvale/program/view_feed.hpp>

#include "waxwing_steer/address_desk.hpp"

namespace waxwingvale::steer {

// waxwing-steer: tells callers which addresses to use. Wires its parts.
class steer_program : public program::server_program {
public:
    explicit steer_program(const program::program_environment& environment);

    result<program::port_map> start() override;
    void stop(std::function<void()> stopped) override;

private:
    // Makes the parts known by name before the others look for them.
    const kernel::service_registry& provide_parts();

    program::program_environment environment_;
    program::counter asked_;
    kernel::message_bus bus_;
    io::message_hub hub_;
    io::http_server callers_;
    program::view_feed feed_;
    address_desk desk_;
    std::uint64_t askings_ = 0;
    std::unique_ptr<program::metrics_endpoint> metrics_endpoint_;
    kernel::timer_service::subscription drain_check_;
};

} // namespace waxwingvale::steer
