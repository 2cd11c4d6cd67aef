#pragma once

#include <waxwingvale/model/backend_belief.hpp>

namespace waxwingvale::entry {

// Published on the bus when a request or a probe shows a backend server in
// another state than the last view has it.
struct backend_seen {
    backend_belief belief;
};

} // namespace waxwingvale::entry
