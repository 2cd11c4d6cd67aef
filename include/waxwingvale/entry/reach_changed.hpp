#pragma once

namespace waxwingvale::entry {

// Published on the bus when this instance has become partitioned from the
// backend servers, or uses them again.
struct reach_changed {
    bool partitioned = false;
};

} // namespace waxwingvale::entry
