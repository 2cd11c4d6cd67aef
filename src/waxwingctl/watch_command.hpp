#pragma once

#include "waxwingctl/command.hpp"

namespace waxwingvale::ctl {

// Looks at the instances again and again and prints one line for each change:
// configuration, members, backend servers, quarantined requests.
exit_code run_watch(const command_options& options, const command_output& to);

} // namespace waxwingvale::ctl
