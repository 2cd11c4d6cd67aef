#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale {

// A configuration file as it was published: what travels between processes,
// each of which parses it for itself.
struct configuration_text {
    std::uint64_t revision = 0; // 0: none
    std::string text;

    friend bool operator==(const configuration_text& a,
                           const configuration_text& b) {
        return std::tie(a.revision, a.text) == std::tie(b.revision, b.text);
    }
    friend bool operator!=(const configuration_text& a,
                           const configuration_text& b) {
        return !(a == b);
    }
};

// All that waxwing-control tells the processes beside it. Every view is whole;
// a later serial replaces an earlier one of the same control incarnation.
struct view {
    std::uint64_t control_incarnation = 0;
    std::uint64_t serial = 0;
    member self;
    configuration_ptr config;     // null until a first file was accepted
    configuration_text published; // the file that config was read from
    std::vector<member> members;  // sorted by id; includes self
    std::vector<backend_belief> beliefs;
    std::vector<std::uint64_t> quarantined; // request fingerprints
    bool fresh = false; // false until word from platform or a peer has come
    // The last of the entry process's asks that was heard before this view
    // was made. A view that lay in a socket while the reader was stopped is
    // old however fresh it calls itself.
    std::uint64_t answers = 0;
};

using view_ptr = std::shared_ptr<const view>;

} // namespace waxwingvale
