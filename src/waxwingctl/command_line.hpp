#pragma once

#include <string>
#include <vector>

#include "waxwingctl/command.hpp"

namespace waxwingvale::ctl {

// Runs one command of waxwingctl and returns the process's exit code. The
// arguments are those after the program's name.
int run_command_line(const std::vector<std::string>& arguments,
                     const command_output& to);

} // namespace waxwingvale::ctl
