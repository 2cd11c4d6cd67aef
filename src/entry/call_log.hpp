#pragma once

#include <functional>
#include <map>
#include <string>

#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/outcome.hpp>

#include "entry/call_record.hpp"
#include "entry/entry_metrics.hpp"

namespace waxwingvale::entry {

// How a call ended, as far as its log is concerned.
struct call_end {
    run_outcome outcome = run_outcome::unknown;
    bool answered = false; // false: its caller had left
    time_point when{};
};

// How much of a call's story is logged.
enum class story_part {
    none,    // answered in time at the first attempt
    outcome, // the same, but operators may need to know whether it ran
    whole
};

story_part part_to_log(const call_record& call, const call_end& end);

// Logs the decisions on each call that did not end ordinarily, and once a
// second how many calls of each class there were.
class call_log {
public:
    // `also` is called with each summary, to log further lines.
    call_log(kernel::timer_service& timers, entry_metrics& metrics,
             std::function<void()> also)
        : timers_(timers), metrics_(metrics), also_(std::move(also)) {}

    void close(const call_record& call, const call_end& end);
    // Schedules a summary within a second.
    void arm();

private:
    struct class_counts {
        unsigned ordinary = 0;
        unsigned refused = 0;
        unsigned unknown = 0;
        unsigned other = 0;
    };

    void count(const call_record& call, const call_end& end, bool ordinary);
    static void write(const call_record& call, story_part part, time_point now);
    void sum_up();

    kernel::timer_service& timers_;
    entry_metrics& metrics_;
    std::function<void()> also_;
    std::uint64_t dropped_counted_ = 0;
    std::map<std::string, class_counts> counts_; // by class
    kernel::timer_service::subscription summing_;
    bool armed_ = false;
};

} // namespace waxwingvale::entry
