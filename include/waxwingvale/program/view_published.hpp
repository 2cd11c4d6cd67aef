#pragma once

#include <memory>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::program {

// Published on the bus whenever what this entry instance knows has changed.
struct view_published {
    view_ptr now;
    // Worked out once for all parts of the process, each of which would rank
    // all members for it. Never null.
    std::shared_ptr<const decision::service_ownerships> owners;
};

// The view with its owners; of a view without a configuration, and until it is
// known which instances there are, there are none.
view_published with_owners(view_ptr now);

} // namespace waxwingvale::program
