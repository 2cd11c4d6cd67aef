#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <docopt.h>
#include <nlohmann/json.hpp>

namespace waxwingvale::standin {

using arguments = std::map<std::string, docopt::value>;

// Reads the command line by the usage text; ends the process when it does not
// fit. Leaves no core file behind, however the process ends.
arguments read_arguments(const char* usage, int count, char** words);

std::uint64_t number(const arguments& given, const std::string& option);
double real(const arguments& given, const std::string& option);

// Prints the one line by which a test learns that this process is ready.
void print_ready(const nlohmann::json& line);

} // namespace waxwingvale::standin
