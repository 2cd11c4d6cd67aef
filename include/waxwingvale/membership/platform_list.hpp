#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::membership {

// An entry instance as the platform's list names it. The list knows of no
// incarnations of entry instances.
struct listed_member {
    std::string name;
    std::string data_centre;
    member_addresses addresses;
    bool leaving = false;
};

// A backend server as the platform's list names it.
struct listed_backend_server {
    std::string name;
    std::uint64_t incarnation = 0; // 0: not told
    bool leaving = false;
};

// One reading of the platform's list of instances.
struct platform_list {
    std::uint64_t revision = 0;
    std::vector<listed_member> members;
    std::vector<listed_backend_server> backend_servers;
};

} // namespace waxwingvale::membership
