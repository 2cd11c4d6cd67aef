#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include <waxwingvale/decision/history_checker.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::history_check {

// What came of checking the files of one run.
struct checked_history {
    std::size_t events = 0;
    std::map<std::string, std::size_t> skipped; // lines, by event name
    std::vector<decision::history_violation> found;
};

// The bounds from the command line; std::invalid_argument when one is no
// number.
decision::history_bounds
bounds_from(const std::map<std::string, docopt::value>& given);

// Reads all files as one history and checks it.
result<checked_history> check_files(const std::vector<std::string>& names,
                                    const decision::history_bounds& bounds);

// One line for each broken promise, and what was read.
std::string report(const checked_history& checked);

} // namespace waxwingvale::history_check
