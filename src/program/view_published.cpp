#include <waxwingvale/program/view_published.hpp>

#include <utility>

namespace waxwingvale::program {

view_published with_owners(view_ptr now) {
    decision::service_ownerships owners;
    if (now->config) {
        owners = decision::compute_ownerships(*now->config, now->members);
    }
    return {std::move(now),
            std::make_shared<const decision::service_ownerships>(
                std::move(owners))};
}

} // namespace waxwingvale::program
