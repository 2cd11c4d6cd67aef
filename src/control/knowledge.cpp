#include "control/knowledge.hpp"

#include <utility>

namespace waxwingvale::control {

knowledge::knowledge(membership::member_record self, unsigned reader_count,
                     membership::configuration_register::validator validate,
                     time_point now)
    : configurations(std::move(validate)),
      members(self, {}, now),
      beliefs(belief_limit),
      registry(belief_limit),
      quarantine({}),
      readers(self.id.name, reader_count, {}, now),
      fresh(wake_gap, now) {}

} // namespace waxwingvale::control
