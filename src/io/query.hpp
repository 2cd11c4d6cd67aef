#pragma once

#include <string>

namespace waxwingvale::io {

// The value of a query parameter of an HTTP target, percent-decoded; empty
// when it is absent.
std::string query_value(const std::string& target, const std::string& name);

} // namespace waxwingvale::io
