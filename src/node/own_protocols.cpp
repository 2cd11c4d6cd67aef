#include <waxwingvale/node/node_protocols.hpp>

#include "entry/own_protocol.hpp"
#include "steer/address_desk.hpp"

namespace waxwingvale::node {

node_protocols own_protocols() {
    node_protocols own;
    own.requests = std::make_unique<entry::own_protocol>();
    own.steering = std::make_unique<steer::address_desk>();
    own.published = std::make_unique<control::published_values>();
    return own;
}

} // namespace waxwingvale::node
