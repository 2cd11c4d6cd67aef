#pragma once

#include <string>
#include <vector>

#include <waxwingvale/decision/scheduling_policy.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::replay {

// Applies "name=value" to the knobs of the decision library: durations in
// microseconds, others as numbers.
result<void> set_knob(decision::scheduling_policy& knobs,
                      const std::string& setting);

// The names of all knobs, in the order of their declaration.
std::vector<std::string> knob_names();

} // namespace waxwingvale::replay
