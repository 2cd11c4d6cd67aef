#pragma once

#include <optional>
#include <tuple>

namespace waxwingvale {

// The terms on which a backend server takes requests, as it states them in an
// answer. They hold until it answers with other ones.
struct backend_terms {
    // The most requests per second that it takes from all instances together;
    // none if it names no limit.
    std::optional<double> requests_per_second;
    // It leaves: it finishes what it has and wants nothing new, until it ends.
    bool leaving = false;

    friend bool operator==(const backend_terms& a, const backend_terms& b) {
        return std::tie(a.requests_per_second, a.leaving) ==
               std::tie(b.requests_per_second, b.leaving);
    }
};

} // namespace waxwingvale
