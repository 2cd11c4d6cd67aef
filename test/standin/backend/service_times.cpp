#include "standin/backend/service_times.hpp"

namespace waxwingvale::standin {

namespace {

// Of the logarithm: the 99th percentile is about four times the median.
constexpr double sigma = 0.6;
constexpr double log_mean = -sigma * sigma / 2; // makes the mean one

} // namespace

service_times::service_times(const backend_options& options)
    : shape_(options.shape),
      mean_(options.service_time),
      random_(options.seed),
      spread_(log_mean, sigma) {}

duration service_times::draw() {
    if (shape_ == service_shape::fixed) {
        return mean_;
    }
    const auto drawn = static_cast<double>(mean_.count()) * spread_(random_);
    return duration(static_cast<duration::rep>(drawn));
}

} // namespace waxwingvale::standin
