#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// What a caller may send, and how long it may take or stay idle. A
// configuration may replace them at any time: for a request that is half read
// narrower ones do not count, and from the next one on they do.
struct caller_limits {
    std::size_t head = 32 * 1024;                  // bytes of line and headers
    std::uint64_t body = 16 * 1024 * 1024;         // bytes
    duration head_time = std::chrono::seconds(10); // from its first byte
    duration idle_time = std::chrono::seconds(60); // between two requests

    friend bool operator==(const caller_limits& a, const caller_limits& b) {
        return std::tie(a.head, a.body, a.head_time, a.idle_time) ==
               std::tie(b.head, b.body, b.head_time, b.idle_time);
    }
};

// What either of them allows.
inline caller_limits wider(const caller_limits& a, const caller_limits& b) {
    return {std::max(a.head, b.head), std::max(a.body, b.body),
            std::max(a.head_time, b.head_time),
            std::max(a.idle_time, b.idle_time)};
}

} // namespace waxwingvale
