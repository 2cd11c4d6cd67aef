#pragma once

namespace waxwingvale::decision {

// How long a request's work is expected to take at the usual pace, against the
// time there is for it.
struct work_forecast {
    double typical_log = 0; // of microseconds
    double log_spread = 0;
    double left_log = 0; // of the microseconds left
};

} // namespace waxwingvale::decision
