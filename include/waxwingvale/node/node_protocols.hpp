#pragma once

#include <memory>
#include <string>

#include <waxwingvale/control/published_state.hpp>
#include <waxwingvale/entry/request_protocol.hpp>
#include <waxwingvale/program/settings.hpp>
#include <waxwingvale/steer/steering_protocol.hpp>

namespace waxwingvale::node {

// How a process speaks with callers, backend servers and the platform. The
// product's own protocols are one such set; another deployment may bring its
// own, which only translate.
struct node_protocols {
    std::unique_ptr<entry::request_protocol> requests;
    std::unique_ptr<steer::steering_protocol> steering;
    std::unique_ptr<control::published_state> published;
    // Where the instance is asked whether it is ready.
    std::string ready_path = "/ready";
};

// The product's own.
node_protocols own_protocols();

} // namespace waxwingvale::node
