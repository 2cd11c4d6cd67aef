#pragma once

#include <set>
#include <string>
#include <vector>

#include <waxwingvale/membership/reader_duty.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::control {

// The instances that each other one needs a link with, however many there are:
// those that own slots, their standbys, and those that read the platform for
// all.
std::set<std::string> central_instances(const configuration_ptr& config,
                                        const std::vector<member>& members,
                                        const membership::reader_duty& readers);

} // namespace waxwingvale::control
