#include <waxwingvale/program/view_published.hpp>

#include <utility>

namespace waxwingvale::program {

view_published with_owners(view_ptr now) {
    decision::service_ownerships owners;
    if (now->config) {
        // Held for the only member, this instance would take all slots.
        static const std::vector<member> nobody;
        owners = decision::compute_ownerships(
            *now->config, now->members_known ? now->members : nobody);
    }
    return {std::move(now),
            std::make_shared<const decision::service_ownerships>(
                std::move(owners))};
}

} // namespace waxwingvale::program
