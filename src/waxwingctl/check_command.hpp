#pragma once

#include "waxwingctl/command.hpp"

namespace waxwingvale::ctl {

// Checks configuration files, here or by one entry instance, which then also
// tells what the file would change. Nothing is published.
exit_code run_check(const command_options& options, const command_output& to);

} // namespace waxwingvale::ctl
