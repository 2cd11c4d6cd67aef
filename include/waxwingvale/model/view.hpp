#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/evacuation.hpp>
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

// What is proved of the configuration in a view.
enum class configuration_standing {
    current,     // the platform had no newer one a moment ago
    superseded,  // a newer one is known of, and has not arrived
    unconfirmed, // nothing was heard of the platform for too long, or ever
};

// The name under which operators see it.
constexpr const char* to_string(configuration_standing standing) {
    switch (standing) {
    case configuration_standing::current:
        return "current";
    case configuration_standing::superseded:
        return "superseded";
    case configuration_standing::unconfirmed:
        return "unconfirmed";
    }
    return "unconfirmed";
}

// All that an entry instance knows, as its parts are told. Every view is
// whole; a later serial replaces an earlier one.
struct view {
    std::uint64_t serial = 0;
    member self;
    configuration_ptr config;     // null until a first file was accepted
    configuration_text published; // the file that config was read from
    std::vector<member> members;  // sorted by id; includes self
    std::vector<backend_belief> beliefs;
    std::vector<std::uint64_t> quarantined; // request fingerprints
    // In force, and the backend servers that config therefore lacks.
    std::vector<evacuation> evacuations;
    std::vector<evacuated_server> evacuated_servers;
    bool fresh = false; // false until word from platform or a peer has come
    configuration_standing standing = configuration_standing::current;
    // Whether requests may be run by the routes of config. If not, others may
    // have had a newer one in force for so long that a request would be run by
    // a service which it no longer leads to.
    bool routes_hold = true;
    // False while nobody has told which other entry instances there are.
    bool members_known = true;
};

// Whether a name that the view's configuration lacks does not exist. It may
// else have been added while this process did not run, or did not hear of it,
// and must not be refused for good.
inline bool proves_absence(const view& known) {
    return known.fresh && known.standing == configuration_standing::current;
}

using view_ptr = std::shared_ptr<const view>;

} // namespace waxwingvale
