#pragma once

#include <string>
#include <vector>

#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

#include "waxwing_load/load_options.hpp"

namespace waxwingvale::load {

// What a caller was told of addresses.
struct steer_answer {
    std::vector<endpoint> addresses; // in order of preference
    duration keep{};
    std::string key_prefix; // names the instance at the first address
};

// Decodes the body of GET /v1/addresses; `peer` names who sent it.
result<steer_answer> decode_steer_answer(const std::string& body,
                                         const std::string& peer);

} // namespace waxwingvale::load
