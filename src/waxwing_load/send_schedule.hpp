#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include <waxwingvale/model/time.hpp>

#include "waxwing_load/load_options.hpp"

namespace waxwingvale::load {

// One call that is due.
struct planned_send {
    duration at{};          // since the run began
    std::size_t caller = 0; // who calls
    bool write = false;     // an at-most-once call
};

// Callers that wake together do so within this time.
constexpr duration burst_width = std::chrono::milliseconds(3);

// Lays the calls out in time, whatever becomes of them: open loop. The same
// options give the same plan.
class send_schedule {
public:
    explicit send_schedule(const load_options& options);
    // The next call, at or after the one before; nothing when count or time
    // is used up.
    std::optional<planned_send> next();

private:
    duration next_burst_time();

    load_options options_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> gap_;
    std::uint64_t planned_ = 0;
    double at_s_ = 0;
};

} // namespace waxwingvale::load
