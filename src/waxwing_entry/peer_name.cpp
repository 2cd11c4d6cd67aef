#include "waxwing_entry/peer_name.hpp"

namespace waxwingvale::entry {

namespace {

constexpr const char* entry_role = "/entry";

} // namespace

std::string entry_process(const std::string& instance) {
    return instance + entry_role;
}

std::string instance_of(const std::string& peer) {
    const std::string role = entry_role;
    if (peer.size() <= role.size() ||
        peer.compare(peer.size() - role.size(), role.size(), role) != 0) {
        return "";
    }
    return peer.substr(0, peer.size() - role.size());
}

} // namespace waxwingvale::entry
