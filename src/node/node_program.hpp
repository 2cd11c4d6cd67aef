#pragma once

#include <functional>
#include <memory>

#include "control/control_service.hpp"
#include "entry/entry_service.hpp"
#include "steer/steer_service.hpp"
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/node/node_protocols.hpp>
#include <waxwingvale/program/program_frame.hpp>

namespace waxwingvale::node {

// One entry instance: its services share the loop, the links to other
// instances and the bus, and find each other by name.
class node_program : public program::server_program {
public:
    node_program(const program::program_environment& environment,
                 node_protocols protocols);

    result<program::port_map> start() override;
    void stop(std::function<void()> stopped) override;

private:
    program::program_environment environment_;
    node_protocols protocols_;
    member_id self_;
    kernel::message_bus bus_;
    io::message_hub hub_;
    std::unique_ptr<entry::entry_service> entry_;
    std::unique_ptr<steer::steer_service> steer_;
    std::unique_ptr<control::control_service> control_;
    std::unique_ptr<program::metrics_endpoint> metrics_endpoint_;
};

} // namespace waxwingvale::node
