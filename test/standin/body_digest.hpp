#pragma once

#include <string>

namespace waxwingvale::standin {

// A digest of a request's target and body (64-bit FNV-1a, hexadecimal), put
// into every answer so that a caller can tell whose answer it holds.
std::string body_digest(const std::string& target, const std::string& body);

} // namespace waxwingvale::standin
