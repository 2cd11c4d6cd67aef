#include <waxwingvale/membership/link_plan.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

constexpr std::size_t chord_base = 4;
constexpr unsigned links_between_data_centres = 2;
constexpr unsigned links_between_regions = 3;

using names = std::vector<std::string>;

// Rendezvous hashing: the name with the highest hash for the purpose.
const std::string& rendezvous_choice(const names& candidates,
                                     const std::string& purpose) {
    const auto seed = decision::stable_hash(purpose);
    return *std::max_element(candidates.begin(), candidates.end(),
                             [seed](const auto& a, const auto& b) {
                                 return decision::stable_hash(a, seed) <
                                        decision::stable_hash(b, seed);
                             });
}

void plan_ring_links(const std::string& self, const names& ring,
                     std::set<std::string>& links) {
    const auto size = ring.size();
    const auto position = static_cast<std::size_t>(
        std::find(ring.begin(), ring.end(), self) - ring.begin());
    for (std::size_t step = 1; step < size; step *= chord_base) {
        links.insert(ring[(position + step) % size]);
        links.insert(ring[(position + size - step) % size]);
    }
}

// Adds the links of `self` from its own group to another group. Whether `self`
// has such a link depends on its own group only. The other group is hashed only
// then, because the plan is computed again at every change of members.
void plan_links_to_group(const std::string& self, const names& own,
                         const names& other, const std::string& purpose,
                         unsigned count, std::set<std::string>& links) {
    for (unsigned number = 0; number < count; ++number) {
        const auto link_purpose = purpose + "/" + std::to_string(number);
        if (rendezvous_choice(own, link_purpose) == self) {
            links.insert(rendezvous_choice(other, link_purpose));
        }
    }
}

using groups = std::map<std::string, names>;

void plan_links_to_other_groups(const std::string& self,
                                const groups& all_groups,
                                const std::string& kind, unsigned count,
                                std::set<std::string>& links) {
    const auto own = std::find_if(
        all_groups.begin(), all_groups.end(), [&self](const auto& each) {
            const auto& group = each.second;
            return std::find(group.begin(), group.end(), self) != group.end();
        });
    if (own == all_groups.end()) {
        return;
    }
    for (const auto& other : all_groups) {
        if (other.first != own->first) {
            const auto& [first, second] = std::minmax(own->first, other.first);
            auto purpose = kind;
            purpose.append("/").append(first).append("/").append(second);
            plan_links_to_group(self, own->second, other.second, purpose, count,
                                links);
        }
    }
}

} // namespace

std::set<std::string> plan_links(const std::string& self,
                                 const std::vector<placed_member>& members) {
    std::map<std::string, groups> regions;
    groups by_region;
    std::set<std::string> links;
    for (const auto& each : members) {
        regions[each.region][each.data_centre].push_back(each.name);
        by_region[each.region].push_back(each.name);
    }
    for (auto& [region, data_centres] : regions) {
        for (auto& [data_centre, ring] : data_centres) {
            std::sort(ring.begin(), ring.end());
            if (std::binary_search(ring.begin(), ring.end(), self)) {
                plan_ring_links(self, ring, links);
            }
        }
        plan_links_to_other_groups(self, data_centres, "data centre",
                                   links_between_data_centres, links);
    }
    plan_links_to_other_groups(self, by_region, "region", links_between_regions,
                               links);
    links.erase(self);
    return links;
}

std::set<std::string>
wanted_links(const std::string& self, const std::vector<placed_member>& present,
             const std::vector<placed_member>& including_gone,
             const std::set<std::string>& central) {
    std::set<std::string> wanted;
    if (including_gone.size() <= full_mesh_limit) {
        for (const auto& each : including_gone) {
            wanted.insert(each.name);
        }
        wanted.erase(self);
        return wanted;
    }
    wanted = plan_links(self, present);
    if (including_gone.size() != present.size()) {
        const auto links_with_gone = plan_links(self, including_gone);
        wanted.insert(links_with_gone.begin(), links_with_gone.end());
    }
    const bool is_central = central.count(self) > 0;
    for (const auto& each : present) {
        if (is_central || central.count(each.name) > 0) {
            wanted.insert(each.name);
        }
    }
    wanted.erase(self);
    return wanted;
}

} // namespace waxwingvale::membership
