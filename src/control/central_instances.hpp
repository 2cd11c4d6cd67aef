#pragma once

#include <set>
#include <string>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/membership/reader_duty.hpp>

namespace waxwingvale::control {

// The instances that each other one needs a link with, however many there are:
// those that own slots, their standbys, and those that read the platform for
// all.
std::set<std::string>
central_instances(const decision::service_ownerships& owners,
                  const membership::reader_duty& readers);

} // namespace waxwingvale::control
