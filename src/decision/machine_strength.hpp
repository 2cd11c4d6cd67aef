#pragma once

#include <vector>

#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// The most processor time and the most bandwidth that one machine of a fleet
// has. Instances differ: some have a tenth of a core and a slow link, and work
// that could be anywhere should not be there.
class machine_strength {
public:
    explicit machine_strength(const std::vector<member>& fleet);

    // Whether that machine has a good part of both.
    bool is_strong(const member& machine) const;

private:
    member_capacity most_{0, 0};
};

} // namespace waxwingvale::decision
