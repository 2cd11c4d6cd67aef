#pragma once

namespace waxwingvale::decision {

// Expected service time of a request at the usual pace, and the time left for
// it, as natural logarithms of microseconds.
struct work_forecast {
    double typical_log = 0;
    double log_spread = 0; // standard deviation of the logarithm
    double time_left_log = 0;
};

} // namespace waxwingvale::decision
