#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace waxwingvale::membership {

// An entry instance and its location, as needed to plan links.
struct placed_member {
    std::string name;
    std::string data_centre;
    std::string region;
};

// The peers to which `self` keeps links. Every instance computes the same
// links from the same members, and all links together form one connected graph:
//
// - within a data centre a ring ordered by name, with chords whose distances
//   are powers of four: paths stay short, while the number of links of an
//   instance grows with the logarithm of the data centre's size;
// - two links between any two data centres of a region;
// - three links between any two regions.
//
// The endpoints of the links between data centres and regions are chosen by
// rendezvous hashing, which spreads them over the instances and changes few of
// them when an instance joins or leaves.
std::set<std::string> plan_links(const std::string& self,
                                 const std::vector<placed_member>& members);

// Up to this number of instances, every instance is linked with every other.
constexpr std::size_t full_mesh_limit = 24;

// All peers to which `self` should have links. A small fleet is a full mesh, in
// which every update takes one hop. In a larger fleet each instance is linked
// with
//
// - the central instances, from which it leases slots and receives updates;
// - its neighbours by plan_links() among the present members;
// - its neighbours if the members that are gone came back. The end of a network
//   partition is noticed only by instances that keep dialling the other side.
std::set<std::string>
wanted_links(const std::string& self, const std::vector<placed_member>& present,
             const std::vector<placed_member>& including_gone,
             const std::set<std::string>& central);

} // namespace waxwingvale::membership
