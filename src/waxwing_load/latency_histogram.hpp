#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::load {

// Counts durations in buckets whose width grows with the value: exact up to
// 2047 us, above that a quantile is told at most one part in 1024 too large.
// Values past 2^36 us (19 hours) count as that.
class latency_histogram {
public:
    void record(duration value);
    // The smallest recorded value, within the error above, that at least this
    // part (0 to 1) of the values does not exceed; zero when there are none.
    duration quantile(double part) const;
    duration max() const { return max_; }
    std::uint64_t count() const { return count_; }
    void merge(const latency_histogram& other);

private:
    static std::size_t index_of(std::uint64_t value);
    static std::uint64_t highest_in(std::size_t index);

    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    duration max_{};
};

} // namespace waxwingvale::load
