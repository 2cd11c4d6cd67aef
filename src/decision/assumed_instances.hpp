#pragma once

namespace waxwingvale::decision {

// Number of instances that is assumed while no other instance is known.
// Instances that all start at the same time do not know each other for a few
// tenths of a second. If each used all that the fleet may use, they would
// exceed the capacity of the service many times. Small deployments have 12 to
// 18 instances.
constexpr unsigned assumed_instances = 16;

} // namespace waxwingvale::decision
