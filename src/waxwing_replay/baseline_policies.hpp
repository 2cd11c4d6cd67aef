#pragma once

#include <memory>
#include <string>
#include <vector>

#include "waxwing_replay/routing_policy.hpp"

namespace waxwingvale::replay {

// The policies that the decision library is compared with, by name: "random",
// "round-robin", "least-in-flight", "two-choices-100ms", "two-choices-1s" and
// "ideal-queue". Throws std::out_of_range for another name.
std::unique_ptr<routing_policy> make_baseline(const std::string& name);

std::vector<std::string> baseline_names();

} // namespace waxwingvale::replay
