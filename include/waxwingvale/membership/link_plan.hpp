#pragma once

#include <set>
#include <string>
#include <vector>

namespace waxwingvale::membership {

// An entry instance and where it lies, as far as links are concerned.
struct placed_member {
    std::string name;
    std::string data_centre;
    std::string region;
};

// The peers that `self` keeps links with. Every instance computes the same
// links from the same members, so that all together form one connected graph:
//
// - within a data centre a ring by name with chords a power of four apart,
//   which keeps the longest way short while the links of one instance grow
//   with the logarithm of the data centre's size;
// - two links between any two data centres of a region;
// - three links between any two regions.
//
// The ends of the latter two are chosen by rendezvous hashing, so that they
// are spread over the instances and few change when one comes or goes.
std::set<std::string> plan_links(const std::string& self,
                                 const std::vector<placed_member>& members);

} // namespace waxwingvale::membership
