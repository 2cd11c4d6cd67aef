#include "entry/call_story.hpp"

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::entry {

std::string fact(const char* key, const std::string& value) {
    return std::string(key) + "=" + program::quote_log_value(value);
}

std::string fact(const char* key, std::uint64_t value) {
    return std::string(key) + "=" + std::to_string(value);
}

std::string fact(const char* key, duration value) {
    constexpr int tenths_per_millisecond = 10;
    const auto tenths =
        std::chrono::duration_cast<std::chrono::microseconds>(value).count() /
        (1000 / tenths_per_millisecond);
    return std::string(key) + "=" +
           std::to_string(tenths / tenths_per_millisecond) + "." +
           std::to_string(std::abs(tenths % tenths_per_millisecond));
}

} // namespace waxwingvale::entry
