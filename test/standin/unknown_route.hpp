#pragma once

#include <waxwingvale/io/http_message.hpp>

namespace waxwingvale::standin {

// Whether an instance has no route in force for a request, be it that it says
// so for good or that it waits for proof: the caller is not served either way.
inline bool knows_no_route(const io::http_response& answer) {
    constexpr unsigned not_found = 404;
    constexpr unsigned unavailable = 503;
    constexpr const char* unproved = "unproved-configuration";
    const bool waits =
        answer.status == unavailable && answer.body.rfind(unproved, 0) == 0;
    return answer.status == not_found || waits;
}

} // namespace waxwingvale::standin
