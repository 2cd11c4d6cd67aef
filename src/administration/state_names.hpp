#pragma once

#include <cstdint>
#include <string>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::administration {

// The words of the administration API for states and their sources.
const char* to_string(member_state state);
const char* to_string(backend_state state);
const char* to_string(belief_source source);
const char* to_string(request_nature nature);

// A request fingerprint as 16 hexadecimal digits.
std::string fingerprint_text(std::uint64_t fingerprint);

} // namespace waxwingvale::administration
