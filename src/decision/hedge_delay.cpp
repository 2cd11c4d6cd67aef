#include <waxwingvale/decision/hedge_delay.hpp>

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {
namespace {

constexpr double buckets_per_octave = 4;
constexpr std::uint32_t min_samples = 20;
constexpr std::uint32_t samples_before_halving = 2048;

} // namespace

void hedge_delay::on_latency(duration latency) {
    const auto micros =
        static_cast<double>(std::max<duration::rep>(1, latency.count()));
    const auto bucket =
        static_cast<std::size_t>(std::log2(micros) * buckets_per_octave);
    ++counts_[std::min(bucket, bucket_count - 1)];
    if (++total_ < samples_before_halving) {
        return;
    }
    total_ = 0;
    for (auto& count : counts_) {
        count /= 2;
        total_ += count;
    }
}

duration hedge_delay::at_quantile(double quantile, duration fallback) const {
    if (total_ < min_samples) {
        return fallback;
    }
    const double wanted = quantile * total_;
    double cumulative = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count) {
        cumulative += counts_[bucket];
        if (cumulative >= wanted) {
            break;
        }
        ++bucket;
    }
    const auto upper_bound =
        std::exp2(static_cast<double>(bucket + 1) / buckets_per_octave);
    return duration(static_cast<duration::rep>(std::ceil(upper_bound)));
}

} // namespace waxwingvale::decision
