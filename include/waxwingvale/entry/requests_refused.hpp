#pragma once

#include <cstdint>
#include <vector>

namespace waxwingvale::entry {

// Published on the bus when other requests than before are refused since they
// end backend servers: all fingerprints of the time, sorted.
struct requests_refused {
    std::vector<std::uint64_t> fingerprints;
};

} // namespace waxwingvale::entry
