#pragma once

#include <nlohmann/json_fwd.hpp>

#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::replay {

// One event that one scheduler was given.
struct traced_event {
    std::uint64_t instance = 0;
    time_point at{};
    decision::scheduler_event event;
};

// An event as one JSON object; of a view only what a scheduler reads.
nlohmann::json encode_event(const traced_event& traced);

// The reverse; an error names the field that is missing or wrong.
result<traced_event> decode_event(const nlohmann::json& line);

} // namespace waxwingvale::replay
