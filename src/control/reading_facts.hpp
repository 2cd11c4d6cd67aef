#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/control/published_state.hpp>
#include <waxwingvale/io/platform_client.hpp>

namespace waxwingvale::control {

// An item that is there and cannot be read: somebody else has written it, or
// its bytes were spoilt.
struct unreadable_item {
    std::string key;
    membership::publication_stamp stamp;
    error why;
};

// What a reading of the platform says.
struct reading_facts {
    std::vector<published_fact> facts;
    // The backend servers that a whole reading lists; none that it does not.
    std::vector<membership::registry_record> listed;
    std::vector<unreadable_item> unreadable;
    // Backend servers whose entries cannot be read: gone at that revision.
    // Nothing is known of them any more; used on, one would get requests that
    // nobody takes.
    std::vector<membership::registry_record> withdrawn;
};

// Each item stands for itself: one that cannot be read takes nothing from the
// others. Were a reading refused for it, nothing would be known of all other
// backend servers as long as it is there.
reading_facts facts_of(const io::platform_reading& reading,
                       const published_state& published);

} // namespace waxwingvale::control
