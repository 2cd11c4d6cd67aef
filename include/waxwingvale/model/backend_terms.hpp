#pragma once

#include <optional>
#include <tuple>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// The terms on which a backend server takes requests, as it states them in an
// answer. They hold until it answers with other ones.
struct backend_terms {
    // The most requests per second that it takes from all instances together;
    // none if it names no limit.
    std::optional<double> requests_per_second;
    // It leaves: it finishes what it has and wants nothing new, until it ends.
    bool leaving = false;
    // It has turned a request away and wants nothing for so long from the
    // instance that sent it.
    std::optional<duration> rest;

    friend bool operator==(const backend_terms& a, const backend_terms& b) {
        return std::tie(a.requests_per_second, a.leaving, a.rest) ==
               std::tie(b.requests_per_second, b.leaving, b.rest);
    }
};

} // namespace waxwingvale
