#include "ctl_run.hpp"

#include <sstream>

#include "waxwingctl/command_line.hpp"

ctl_run run_ctl(const std::vector<std::string>& arguments) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = waxwingvale::ctl::run_command_line(arguments, {out, err});
    return {code, out.str(), err.str()};
}
