#pragma once

#include <vector>

#include <waxwingvale/membership/registry_table.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::control {

// The backend servers of a list that comes in parts. They are taken together at
// its end, so that no view has but some of them; of a list that is long, or
// takes long, what has come is taken at once.
class listed_backends {
public:
    void begin(time_point now);
    // Adds a part. Returns what is to be taken now.
    std::vector<membership::registry_record>
    add(const std::vector<membership::registry_record>& part, bool ends,
        time_point now);

private:
    std::vector<membership::registry_record> kept_;
    time_point began_{};
    bool takes_long_ = false;
};

} // namespace waxwingvale::control
