#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::administration {

// A newer configuration file that was not taken, and why.
struct refused_file {
    std::uint64_t revision = 0;
    error reason;
};

// How the reading of the platform goes.
struct platform_word {
    bool reachable = false;                // the last read was answered
    std::optional<time_point> last_answer; // none: never
    std::uint64_t reads = 0;               // since the start
    std::uint64_t failures = 0;
};

// A link with another entry instance, by its name.
struct peer_link {
    std::string peer;
    bool connected = false;
};

// All that the administration API shows, at one moment of its instance.
struct control_snapshot {
    time_point now{};
    view_ptr seen; // as callers are served by it; null at the very start
    std::uint64_t newest_revision_seen = 0;
    std::optional<refused_file> refused;
    platform_word platform;
    std::vector<peer_link> links;
};

} // namespace waxwingvale::administration
