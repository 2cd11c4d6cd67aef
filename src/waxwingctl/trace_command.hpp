#pragma once

#include <string>
#include <vector>

#include "waxwingctl/command.hpp"
#include "waxwingctl/log_line.hpp"

namespace waxwingvale::ctl {

// What the logs say of one request: its own lines, and before them what the
// processes that handled it last logged of the backend servers that it
// reached, of the configuration and of the platform. In order of time.
std::vector<log_line> trace_of(const std::string& request,
                               const std::vector<log_line>& lines);

// Follows one request through the logs of many processes.
exit_code run_trace(const command_options& options, const command_output& to);

} // namespace waxwingvale::ctl
