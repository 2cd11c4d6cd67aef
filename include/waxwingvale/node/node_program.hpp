#pragma once

#include <functional>
#include <memory>

#include <waxwingvale/node/node_protocols.hpp>
#include <waxwingvale/program/program_frame.hpp>

namespace waxwingvale::node {

// One entry instance: its services share the loop, the links to other
// instances and the bus, and find each other by name.
class node_program : public program::server_program {
public:
    node_program(const program::program_environment& environment,
                 node_protocols protocols);
    ~node_program() override;

    result<program::port_map> start() override;
    void stop(std::function<void()> stopped) override;
    void reload(const program::settings& changed) override;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::node
