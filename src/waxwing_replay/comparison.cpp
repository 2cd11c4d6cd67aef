#include "waxwing_replay/comparison.hpp"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

#include "waxwing_replay/baseline_policies.hpp"
#include "waxwing_replay/replay_world.hpp"
#include "waxwing_replay/waxwing_policy.hpp"

namespace waxwingvale::replay {

namespace {

struct column {
    const char* title;
    int width;
    int decimals;
    double run_figures::*figure;
};

constexpr column columns[] = {
    {"p50 ms", 8, 1, &run_figures::p50_ms},
    {"p99 ms", 8, 1, &run_figures::p99_ms},
    {"p99.9 ms", 9, 1, &run_figures::p999_ms},
    {"goodput", 8, 4, &run_figures::goodput},
    {"in time", 8, 4, &run_figures::in_time},
    {"worth", 8, 4, &run_figures::worth},
    {"worst 2x2s", 11, 4, &run_figures::worst_windows},
    {"worst class", 12, 4, &run_figures::worst_class},
    {"of capacity", 12, 3, &run_figures::of_capacity},
    {"refused", 8, 4, &run_figures::refused},
    {"failed", 8, 4, &run_figures::failed},
    {"retries", 8, 4, &run_figures::retries},
    {"hedges", 7, 4, &run_figures::hedges},
    {"probes/s", 9, 1, &run_figures::probes},
    {"messages", 9, 3, &run_figures::messages},
    {"spread", 7, 1, &run_figures::spread},
};

} // namespace

std::vector<std::string> policy_names() {
    std::vector<std::string> names = baseline_names();
    names.emplace_back(unhedged_policy_name);
    names.emplace_back(waxwing_policy_name);
    return names;
}

run_figures run_one(const workload& load, const std::string& policy,
                    const decision::scheduling_policy& knobs) {
    std::unique_ptr<routing_policy> routing;
    const bool hedging = policy == waxwing_policy_name;
    if (hedging || policy == unhedged_policy_name) {
        routing = std::make_unique<waxwing_policy>(knobs, hedging);
    } else {
        routing = make_baseline(policy);
    }
    replay_world world(load);
    run_figures figures = world.run(*routing);
    figures.policy = policy;
    return figures;
}

std::vector<run_figures> run_comparison(const comparison_plan& plan) {
    std::vector<run_figures> runs;
    for (const std::string& user : plan.users) {
        for (const std::string& scenario : plan.scenarios) {
            service_size size = size_of(user);
            size.owners = plan.owners != 0 ? plan.owners : size.owners;
            const workload load =
                make_workload(scenario, size, plan.seed, plan.length);
            for (const std::string& policy : plan.policies) {
                runs.push_back(run_one(load, policy, plan.knobs));
            }
        }
    }
    return runs;
}

void print_table(std::ostream& out, const std::vector<run_figures>& runs) {
    out << std::left << std::setw(20) << "user" << std::setw(14) << "scenario"
        << std::setw(18) << "policy" << std::right;
    for (const column& shown : columns) {
        out << std::setw(shown.width) << shown.title;
    }
    out << '\n' << std::fixed;
    for (const run_figures& run : runs) {
        out << std::left << std::setw(20) << run.user << std::setw(14)
            << run.scenario << std::setw(18) << run.policy << std::right;
        for (const column& shown : columns) {
            out << std::setw(shown.width) << std::setprecision(shown.decimals)
                << run.*shown.figure;
        }
        out << '\n';
    }
}

void print_json(std::ostream& out, const std::vector<run_figures>& runs) {
    nlohmann::json array = nlohmann::json::array();
    for (const run_figures& run : runs) {
        nlohmann::json row = {{"user", run.user},
                              {"scenario", run.scenario},
                              {"policy", run.policy},
                              {"seed", run.seed}};
        for (const column& shown : columns) {
            row[shown.title] = run.*shown.figure;
        }
        array.push_back(row);
    }
    out << array.dump(2) << '\n';
}

} // namespace waxwingvale::replay
