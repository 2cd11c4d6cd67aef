#pragma once

#include <string>
#include <vector>

#include <waxwingvale/model/configuration.hpp>

namespace waxwingvale::administration {

// What publishing `offered` would change, one plain line each, such as
// "service assign-desk: backend server desk-9 added".
std::vector<std::string> configuration_difference(const configuration& in_force,
                                                  const configuration& offered);

} // namespace waxwingvale::administration
