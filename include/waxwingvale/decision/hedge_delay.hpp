#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Recent latencies of one request class, for the delay after which a read is
// hedged. Buckets grow by a quarter octave; old samples fade by halving, so
// that it follows a load that shifts.
class hedge_delay {
public:
    void on_latency(duration latency);

    // The latency that `quantile` (0 to 1) of recent answers stayed under, to
    // the upper edge of its bucket; `otherwise` while too few were seen.
    duration at_quantile(double quantile, duration otherwise) const;

private:
    static constexpr std::size_t bucket_count = 128;
    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t total_ = 0;
};

} // namespace waxwingvale::decision
