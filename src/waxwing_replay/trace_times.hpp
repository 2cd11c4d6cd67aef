#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include <waxwingvale/model/time.hpp>

// Times in traces are whole microseconds.
namespace waxwingvale::replay {

inline std::int64_t count(duration value) {
    return value.count();
}

inline std::int64_t count(time_point value) {
    return value.time_since_epoch().count();
}

inline duration duration_in(const nlohmann::json& from, const char* field) {
    return duration(from.at(field).get<std::int64_t>());
}

inline time_point time_in(const nlohmann::json& from, const char* field) {
    return time_point(duration_in(from, field));
}

} // namespace waxwingvale::replay
