#pragma once

#include <string>

namespace waxwingvale::entry {

// The name under which an entry instance's entry process is linked to.
std::string entry_process(const std::string& instance);

// The entry instance's name when the peer is an entry process, or empty.
std::string instance_of(const std::string& peer);

} // namespace waxwingvale::entry
