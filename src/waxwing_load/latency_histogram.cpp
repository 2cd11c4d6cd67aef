#include "waxwing_load/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::load {

namespace {

// Values below 2 * half are exact; each further power of two has `half`
// buckets.
constexpr unsigned half_bits = 10;
constexpr std::uint64_t half = 1ULL << half_bits;
constexpr std::uint64_t highest_value = 1ULL << 36;

unsigned highest_bit(std::uint64_t value) {
    unsigned bit = 0;
    while (value > 1) {
        value >>= 1;
        ++bit;
    }
    return bit;
}

} // namespace

std::size_t latency_histogram::index_of(std::uint64_t value) {
    if (value < 2 * half) {
        return value;
    }
    const auto shift = highest_bit(value) - half_bits;
    return shift * half + (value >> shift);
}

std::uint64_t latency_histogram::highest_in(std::size_t index) {
    if (index < 2 * half) {
        return index;
    }
    const auto shift = index / half - 1;
    const auto top = index - shift * half;
    return ((top + 1) << shift) - 1;
}

void latency_histogram::record(duration value) {
    const auto bounded = std::min<std::uint64_t>(
        static_cast<std::uint64_t>(std::max<duration::rep>(0, value.count())),
        highest_value);
    const auto index = index_of(bounded);
    if (buckets_.size() <= index) {
        buckets_.resize(index + 1);
    }
    ++buckets_[index];
    ++count_;
    max_ = std::max(max_, value);
}

duration latency_histogram::quantile(double part) const {
    const auto wanted = static_cast<std::uint64_t>(
        std::ceil(part * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        seen += buckets_[i];
        if (seen > 0 && seen >= wanted) {
            const auto value = static_cast<duration::rep>(highest_in(i));
            return std::min(max_, duration(value));
        }
    }
    return duration::zero();
}

void latency_histogram::merge(const latency_histogram& other) {
    buckets_.resize(std::max(buckets_.size(), other.buckets_.size()));
    for (std::size_t i = 0; i < other.buckets_.size(); ++i) {
        buckets_[i] += other.buckets_[i];
    }
    count_ += other.count_;
    max_ = std::max(max_, other.max_);
}

} // namespace waxwingvale::load
