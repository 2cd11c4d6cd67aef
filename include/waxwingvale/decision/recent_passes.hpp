#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Fingerprints of requests that ran to their end a short while ago, bounded in
// number and age: remembered for one to two periods, and not beyond the limit.
class recent_passes {
public:
    recent_passes(duration period, std::size_t limit);

    void add(request_fingerprint fingerprint, time_point now);
    bool contains(request_fingerprint fingerprint, time_point now);

private:
    using generation = std::unordered_set<std::uint64_t>;

    void turn_over(time_point now);

    duration period_;
    std::size_t limit_;
    time_point began_{}; // of the present generation
    generation present_;
    generation former_;
};

} // namespace waxwingvale::decision
