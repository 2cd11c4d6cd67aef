#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Histogram of the recent latencies of one request class, from which the delay
// before a hedge is taken. Bucket bounds grow by a quarter octave. All counts
// are halved from time to time, so that the histogram follows a changing load.
class hedge_delay {
public:
    void on_latency(duration latency);

    // The given quantile (0 to 1) of recent latencies, rounded up to the upper
    // bound of its bucket; `fallback` while there are too few samples.
    duration at_quantile(double quantile, duration fallback) const;

private:
    static constexpr std::size_t bucket_count = 128;
    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t total_ = 0;
};

} // namespace waxwingvale::decision
