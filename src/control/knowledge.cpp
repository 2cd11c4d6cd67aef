#include "control/knowledge.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace waxwingvale::control {

namespace {

// Everybody looks for the seeds first, and has nobody to hear of when those
// wait as well. Read by all at a start of hundreds, the platform would be paid
// for as many lists as there are instances.
bool hears_from_others(const membership::member_record& self,
                       const std::vector<program::seed_settings>& seeds) {
    const auto is_self = [&self](const auto& seed) {
        return seed.host == self.addresses.host &&
               seed.control_port == self.addresses.control_port;
    };
    return !seeds.empty() && std::none_of(seeds.begin(), seeds.end(), is_self);
}

} // namespace

knowledge::knowledge(membership::member_record self,
                     const program::settings& from,
                     membership::configuration_register::validator validate,
                     time_point now)
    : configurations(std::move(validate)),
      members(self, {}, now),
      beliefs(belief_limit),
      registry(belief_limit),
      quarantine({}),
      readers(self.id.name, from.platform.readers,
              hears_from_others(self, from.peers.seeds), {}, now),
      fresh(wake_gap, now),
      late_wakeups({}) {}

std::vector<std::uint64_t> knowledge::refused_requests() const {
    const auto told = quarantine.fingerprints();
    std::vector<std::uint64_t> all;
    std::set_union(told.begin(), told.end(), refused_here.begin(),
                   refused_here.end(), std::back_inserter(all));
    return all;
}

} // namespace waxwingvale::control
