#pragma once

#include <vector>

#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// The highest CPU and link capacity of any machine in a fleet. Instances differ
// in capacity: some have a tenth of a core and a slow link, and should not get
// work that can run on any instance.
class fleet_capacity {
public:
    explicit fleet_capacity(const std::vector<member>& fleet);

    // Whether both capacities of the machine are at least 40% of the highest.
    bool has_high_capacity(const member& candidate) const;

private:
    member_capacity highest_{0, 0};
};

} // namespace waxwingvale::decision
