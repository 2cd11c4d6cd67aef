#pragma once

#include <cstddef>
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

// Up to so many instances each is linked with every other.
constexpr std::size_t full_mesh_limit = 24;

// All links that `self` ought to have. A small fleet is a full mesh, which
// makes every word one hop. In a larger one each instance is linked with the
// central ones, whom it asks for slots and hears news from, and by the plan
// above with those that live, and with those that would be its neighbours if
// the gone were back: a partition's end is noticed only by those who go on
// dialing.
std::set<std::string> wanted_links(const std::string& self,
                                   const std::vector<placed_member>& present,
                                   const std::vector<placed_member>& with_gone,
                                   const std::set<std::string>& central);

} // namespace waxwingvale::membership
