#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "waxwing_replay/comparison.hpp"
#include "waxwing_replay/decision_bench.hpp"
#include "waxwing_replay/knob_table.hpp"
#include "waxwing_replay/trace.hpp"

namespace {

using namespace waxwingvale;
using namespace waxwingvale::replay;
using docopt_arguments = std::map<std::string, docopt::value>;

constexpr int exit_differs = 1;
constexpr int exit_bad_input = 2;

const char usage[] =
    R"(waxwing-replay: drives the decision library and measures it.

Usage:
  waxwing-replay compare [--user=NAME]... [--scenario=NAME]... [--policy=NAME]... [--seed=N] [--seconds=N] [--owners=N] [--knob=SETTING]... [--json]
  waxwing-replay record FILE [--user=NAME]... [--scenario=NAME]... [--seed=N] [--seconds=N] [--knob=SETTING]...
  waxwing-replay replay FILE [--knob=SETTING]...
  waxwing-replay bench [--requests=N]
  waxwing-replay (-h | --help)

Options:
  --user=NAME      Sizes of that user: cooperative, bramblewood or small [default: both].
  --scenario=NAME  A scenario by name [default: all].
  --policy=NAME    A policy by name [default: all].
  --seed=N         Seed of all generated numbers [default: 1].
  --seconds=N      Measured model seconds of each run [default: 20].
  --owners=N       Owners of the service; 0 derives them [default: 0].
  --knob=SETTING   A knob of the decision library, as name=value.
  --requests=N     Requests decided on for each figure [default: 200000].
  --json           JSON in place of a table.
  -h --help        This text.
)";

std::vector<std::string> chosen(const docopt::value& given,
                                const std::string& everything,
                                const std::vector<std::string>& all) {
    const std::vector<std::string> names =
        given.isStringList() ? given.asStringList()
                             : std::vector<std::string>{given.asString()};
    return names.size() == 1 && names[0] == everything ? all : names;
}

// Throws std::invalid_argument for a setting that is no knob's.
decision::scheduling_policy knobs_in(const docopt_arguments& arguments) {
    decision::scheduling_policy knobs;
    for (const std::string& setting : arguments.at("--knob").asStringList()) {
        const auto applied = set_knob(knobs, setting);
        if (!applied) {
            throw std::invalid_argument(to_string(applied.error()));
        }
    }
    return knobs;
}

std::vector<std::string> users_in(const docopt_arguments& arguments) {
    return chosen(arguments.at("--user"), "both",
                  {"cooperative", "bramblewood"});
}

std::vector<std::string> scenarios_in(const docopt_arguments& arguments) {
    return chosen(arguments.at("--scenario"), "all", scenario_names());
}

std::uint64_t seed_in(const docopt_arguments& arguments) {
    return static_cast<std::uint64_t>(arguments.at("--seed").asLong());
}

duration length_in(const docopt_arguments& arguments) {
    constexpr double microseconds = 1e6;
    const double seconds = std::stod(arguments.at("--seconds").asString());
    return duration(static_cast<duration::rep>(seconds * microseconds));
}

int compare(const docopt_arguments& arguments) {
    comparison_plan plan;
    plan.users = users_in(arguments);
    plan.scenarios = scenarios_in(arguments);
    plan.policies = chosen(arguments.at("--policy"), "all", policy_names());
    plan.seed = seed_in(arguments);
    plan.length = length_in(arguments);
    plan.owners = static_cast<unsigned>(arguments.at("--owners").asLong());
    plan.knobs = knobs_in(arguments);
    const auto runs = run_comparison(plan);
    if (arguments.at("--json").asBool()) {
        print_json(std::cout, runs);
    } else {
        print_table(std::cout, runs);
    }
    return 0;
}

int record(const docopt_arguments& arguments) {
    const auto users = users_in(arguments);
    const auto scenarios = scenarios_in(arguments);
    if (users.size() != 1 || scenarios.size() != 1) {
        throw std::invalid_argument("record: name one user and one scenario");
    }
    const std::string name = arguments.at("FILE").asString();
    std::ofstream file(name);
    const workload load =
        make_workload(scenarios[0], size_of(users[0]), seed_in(arguments),
                      length_in(arguments));
    const trace_outcome outcome = record_trace(file, load, knobs_in(arguments));
    if (!file.flush()) {
        throw std::invalid_argument("record: can't write " + name);
    }
    std::cout << to_string(outcome) << '\n';
    return 0;
}

int replay_file(const docopt_arguments& arguments) {
    const std::string name = arguments.at("FILE").asString();
    std::ifstream file(name);
    if (!file) {
        throw std::invalid_argument("replay: can't read " + name);
    }
    const auto verdict = replay_trace(file, knobs_in(arguments));
    if (!verdict) {
        throw std::invalid_argument(name + ": " + to_string(verdict.error()));
    }
    std::cout << "stated:   " << to_string(verdict.value().stated) << '\n'
              << "replayed: " << to_string(verdict.value().replayed) << '\n';
    return verdict.value().stated == verdict.value().replayed ? 0
                                                              : exit_differs;
}

int bench(const docopt_arguments& arguments) {
    print_bench(std::cout, measure_all_sizes(static_cast<std::uint64_t>(
                               arguments.at("--requests").asLong())));
    return 0;
}

struct command {
    const char* name;
    int (*run)(const docopt_arguments&);
};

constexpr command commands[] = {{"compare", compare},
                                {"record", record},
                                {"replay", replay_file},
                                {"bench", bench}};

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(
        usage, std::vector<std::string>(argv + 1, argv + argc), true);
    try {
        for (const command& known : commands) {
            if (arguments.at(known.name).asBool()) {
                return known.run(arguments);
            }
        }
    } catch (const std::logic_error& wrong) {
        std::cerr << "waxwing-replay: " << wrong.what() << '\n';
    }
    return exit_bad_input;
}
