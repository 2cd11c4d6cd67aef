#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet_simulation.hpp"

namespace waxwingvale {

enum class fleet_fault {
    rolling_restart,
    restart_reader,
    freeze_some,
    freeze_reader,
    partition,
    platform_unavailable_to_reader,
    platform_unavailable_to_some,
    platform_unavailable_to_all,
    slow_platform,
    stale_answers,
    history_truncated,
    links_replaced,
    links_drop_messages
};
constexpr unsigned fleet_fault_count = 13;
const char* name_of(fleet_fault fault);

// Injects faults into a simulated fleet while configurations are published. The
// fleet's seed determines which faults occur and when.
class fault_script {
public:
    // Publishes a configuration at random intervals between the two durations.
    fault_script(fleet_simulation& fleet, duration min_publish_interval,
                 duration max_publish_interval);

    // Runs the fleet for `time`, injecting and ending faults that are due.
    void pass(duration time);
    // Sets the kinds of faults from which the script chooses at random; with an
    // empty list it injects none.
    void choose_from(std::vector<fleet_fault> faults);
    void end_faults();
    // The injected faults with their times, in ms, for the output of a test.
    const std::string& played() const { return injected_; }

private:
    void inject_random();
    void inject(fleet_fault fault);
    void end_if_due();
    void publish_if_due();
    void restart_if_due();
    std::set<unsigned> random_instances();
    unsigned current_reader();
    duration random_between(duration min, duration max);
    void make_platform_unavailable_to(const std::set<unsigned>& instances);

    fleet_simulation& fleet_;
    duration min_publish_interval_;
    duration max_publish_interval_;
    std::vector<fleet_fault> faults_;
    time_point next_publication_at_;
    time_point next_fault_at_;
    time_point fault_ends_at_{};
    bool fault_active_ = false;
    std::vector<unsigned> to_restart_;
    time_point next_restart_at_{};
    std::string injected_;
};

} // namespace waxwingvale
