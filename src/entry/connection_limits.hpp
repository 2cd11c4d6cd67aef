#pragma once

#include <cstddef>

#include <waxwingvale/model/view.hpp>

namespace waxwingvale::entry {

// Connections to one backend server that one entry instance may have.
struct connection_limits {
    std::size_t open = 256; // idle ones included
    std::size_t idle = 256; // kept for later

    friend bool operator==(const connection_limits& a,
                           const connection_limits& b) {
        return a.open == b.open && a.idle == b.idle;
    }
};

// The file's limit is for all entry instances together, and a server resets
// whatever comes beyond it. Connections in use are bounded by the server's
// slots, whichever instances use them; so all but those are divided among the
// instances to be kept idle. Were every connection divided, an owner among
// 128 instances would have 8 of 1080, and could not use the slots of a server
// that it owns while its probes and hedges take some of them.
connection_limits connection_limits_of(const view& now);

} // namespace waxwingvale::entry
