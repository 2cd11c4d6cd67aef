#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::membership {

// An entry instance as listed by the platform. The platform does not know the
// incarnations of entry instances.
struct listed_member {
    std::string name;
    std::string data_centre;
    member_addresses addresses;
    bool leaving = false;
};

// A backend server as listed by the platform.
struct listed_backend_server {
    std::string name;
    std::uint64_t incarnation = 0; // 0: unknown
    bool leaving = false;
};

// The platform's list of instances at one revision.
struct platform_list {
    std::uint64_t revision = 0;
    std::vector<listed_member> members;
    std::vector<listed_backend_server> backend_servers;
};

} // namespace waxwingvale::membership
