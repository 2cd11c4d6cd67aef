#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "waxwing_replay/run_statistics.hpp"
#include "waxwing_replay/workload.hpp"
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::replay {

// The name under which the decision library itself is measured.
inline constexpr const char* waxwing_policy_name = "waxwingvale";
// The same without hedges.
inline constexpr const char* unhedged_policy_name = "waxwing-no-hedge";

// What to compare.
struct comparison_plan {
    std::vector<std::string> users;
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
    std::uint64_t seed = 1;
    duration length{};
    unsigned owners = 0; // of the service; 0: derived
    decision::scheduling_policy knobs;
};

// Every policy's name, the decision library's last.
std::vector<std::string> policy_names();

// Runs one workload under one policy; throws std::out_of_range for a policy
// that does not exist.
run_figures run_one(const workload& load, const std::string& policy,
                    const decision::scheduling_policy& knobs);

// Runs all of the plan; figures in the order of the plan.
std::vector<run_figures> run_comparison(const comparison_plan& plan);

// One table for people, or one JSON array.
void print_table(std::ostream& out, const std::vector<run_figures>& runs);
void print_json(std::ostream& out, const std::vector<run_figures>& runs);

} // namespace waxwingvale::replay
