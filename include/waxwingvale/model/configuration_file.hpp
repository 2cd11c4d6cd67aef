#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale {

// Most bytes of a configuration file: the platform holds no larger values.
constexpr std::size_t configuration_size_limit = 1024 * 1024;

// The schema that this release reads and writes.
constexpr unsigned configuration_schema_version = 1;

// Reads a configuration file, JSON with comments, whole or not at all. The
// error is the first that check_configuration() would give. The revision is
// the platform's and becomes part of the value.
result<configuration> parse_configuration(std::string_view text,
                                          std::string_view file_name,
                                          std::uint64_t revision);

// All that is wrong with a configuration file, in the file's order; empty when
// it would be accepted. Each error carries the file as its peer, and in its
// detail the path of the field, or the line for what is not JSON, and what was
// expected there. After 50 errors it stops.
std::vector<error> check_configuration(std::string_view text,
                                       std::string_view file_name);

// Writes the file from which parse_configuration() makes an equal value.
// Durations are written in whole milliseconds; finer ones are cut off.
std::string write_configuration(const configuration& config);

} // namespace waxwingvale
