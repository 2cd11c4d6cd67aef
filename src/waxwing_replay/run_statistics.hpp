#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "waxwing_replay/worth_ledger.hpp"
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::replay {

// How a call ended for its caller.
enum class call_end {
    answered, // within its deadline
    late,     // at its deadline it was still running
    refused,  // not run
    failed    // an error, or nobody knows
};

// The figures of one run of one policy.
struct run_figures {
    std::string user;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double goodput = 0;       // answered, of all calls
    double in_time = 0;       // answered within the target, of all calls
    double worth = 0;         // earned, of what was owed
    double worst_windows = 0; // of the two worst seconds twice
    double worst_class = 0;
    std::vector<double> worth_by_class; // in the order of the size's works
    double of_capacity = 0; // answered a second, of what the slots can serve
    double refused = 0;     // of all calls
    double failed = 0;      // late or failed, of all calls
    double retries = 0;     // further attempts, of all calls
    double hedges = 0;      // second copies, of all calls
    double probes = 0;      // a second to each backend server
    double messages = 0;    // between entry instances, of all calls
    double spread = 0;      // busiest 100 ms of come-backs against their mean
};

// Collects the ends of calls that arrived after the warm-up.
class run_statistics {
public:
    void answered(duration latency, bool in_time);
    void ended(call_end end) { ++counts_[static_cast<int>(end)]; }
    void owed(std::size_t work, time_point arrived, double worth) {
        worth_.owed(work, arrived, worth);
    }
    void earned(std::size_t work, time_point arrived, double worth) {
        worth_.earned(work, arrived, worth);
    }
    void retried() { ++retries_; }
    void hedged() { ++hedges_; }
    void message_sent() { ++messages_; }
    void came_back_at(time_point when) { come_backs_.push_back(when); }

    std::uint64_t count(call_end end) const {
        return counts_[static_cast<int>(end)];
    }
    // Fills in what was counted; capacity in calls a second.
    void fill(run_figures& figures, double capacity, duration measured) const;

private:
    double quantile_ms(const std::vector<duration>& sorted, double q) const;
    double come_back_spread() const;

    worth_ledger worth_;
    std::uint64_t counts_[4] = {};
    std::uint64_t in_time_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t hedges_ = 0;
    std::uint64_t messages_ = 0;
    std::vector<duration> latencies_;
    std::vector<time_point> come_backs_;
};

} // namespace waxwingvale::replay
