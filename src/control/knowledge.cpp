#include "control/knowledge.hpp"

#include <utility>

namespace waxwingvale::control {

knowledge::knowledge(membership::member_record self,
                     const program::settings& from,
                     membership::configuration_register::validator validate,
                     time_point now)
    : configurations(std::move(validate)),
      members(self, {}, now),
      beliefs(belief_limit),
      registry(belief_limit),
      quarantine({}),
      readers(self.id.name, from.platform.readers, !from.peers.seeds.empty(),
              {}, now),
      fresh(wake_gap, now) {}

} // namespace waxwingvale::control
