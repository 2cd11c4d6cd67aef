#pragma once

#include <random>

#include "standin/backend/backend_options.hpp"

namespace waxwingvale::standin {

// Draws service times; the same seed gives the same times.
class service_times {
public:
    explicit service_times(const backend_options& options);
    duration draw();

private:
    service_shape shape_;
    duration mean_;
    std::mt19937_64 random_;
    std::lognormal_distribution<double> spread_;
};

} // namespace waxwingvale::standin
