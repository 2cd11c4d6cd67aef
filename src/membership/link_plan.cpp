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

// The name that scores highest for that purpose.
const std::string& chosen(const names& of, const std::string& purpose) {
    const auto seed = decision::stable_hash(purpose);
    return *std::max_element(of.begin(), of.end(),
                             [seed](const auto& a, const auto& b) {
                                 return decision::stable_hash(a, seed) <
                                        decision::stable_hash(b, seed);
                             });
}

void plan_ring(const std::string& self, const names& ring,
               std::set<std::string>& links) {
    const auto size = ring.size();
    const auto place = static_cast<std::size_t>(
        std::find(ring.begin(), ring.end(), self) - ring.begin());
    for (std::size_t step = 1; step < size; step *= chord_base) {
        links.insert(ring[(place + step) % size]);
        links.insert(ring[(place + size - step) % size]);
    }
}

// The links that `self` has from its own group to another one. Whether it has
// one is known from its own group; only then are the names of the other looked
// at, since all this is worked out with each change of members.
void plan_between(const std::string& self, const names& own, const names& other,
                  const std::string& purpose, unsigned count,
                  std::set<std::string>& links) {
    for (unsigned number = 0; number < count; ++number) {
        const auto nth = purpose + "/" + std::to_string(number);
        if (chosen(own, nth) == self) {
            links.insert(chosen(other, nth));
        }
    }
}

using groups = std::map<std::string, names>;

void plan_between_all(const std::string& self, const groups& of,
                      const std::string& kind, unsigned count,
                      std::set<std::string>& links) {
    const auto own =
        std::find_if(of.begin(), of.end(), [&self](const auto& each) {
            const auto& group = each.second;
            return std::find(group.begin(), group.end(), self) != group.end();
        });
    if (own == of.end()) {
        return;
    }
    for (const auto& other : of) {
        if (other.first != own->first) {
            const auto& [first, second] = std::minmax(own->first, other.first);
            auto purpose = kind;
            purpose.append("/").append(first).append("/").append(second);
            plan_between(self, own->second, other.second, purpose, count,
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
                plan_ring(self, ring, links);
            }
        }
        plan_between_all(self, data_centres, "data centre",
                         links_between_data_centres, links);
    }
    plan_between_all(self, by_region, "region", links_between_regions, links);
    links.erase(self);
    return links;
}

std::set<std::string> wanted_links(const std::string& self,
                                   const std::vector<placed_member>& present,
                                   const std::vector<placed_member>& with_gone,
                                   const std::set<std::string>& central) {
    std::set<std::string> wanted;
    if (with_gone.size() <= full_mesh_limit) {
        for (const auto& each : with_gone) {
            wanted.insert(each.name);
        }
        wanted.erase(self);
        return wanted;
    }
    wanted = plan_links(self, present);
    if (with_gone.size() != present.size()) {
        const auto former = plan_links(self, with_gone);
        wanted.insert(former.begin(), former.end());
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
