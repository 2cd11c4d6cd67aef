#include <docopt/docopt.h>
#include <iostream>
#include <stdexcept>

#include "waxwing_replay/comparison.hpp"
#include "waxwing_replay/knob_table.hpp"

namespace {

using namespace waxwingvale;
using namespace waxwingvale::replay;

const char usage[] =
    R"(waxwing-replay: drives the decision library and measures it.

Usage:
  waxwing-replay compare [--user=NAME]... [--scenario=NAME]... [--policy=NAME]... [--seed=N] [--seconds=N] [--knob=SETTING]... [--json]
  waxwing-replay (-h | --help)

Options:
  --user=NAME      Sizes of that user: cooperative or bramblewood [default: both].
  --scenario=NAME  A scenario by name [default: all].
  --policy=NAME    A policy by name [default: all].
  --seed=N         Seed of all generated numbers [default: 1].
  --seconds=N      Measured model seconds of each run [default: 20].
  --knob=SETTING   A knob of the decision library, as name=value.
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

int compare(const std::map<std::string, docopt::value>& arguments) {
    comparison_plan plan;
    plan.users =
        chosen(arguments.at("--user"), "both", {"cooperative", "bramblewood"});
    plan.scenarios =
        chosen(arguments.at("--scenario"), "all", scenario_names());
    plan.policies = chosen(arguments.at("--policy"), "all", policy_names());
    plan.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    plan.length = duration(arguments.at("--seconds").asLong() * 1000000);
    for (const std::string& setting : arguments.at("--knob").asStringList()) {
        const auto applied = set_knob(plan.knobs, setting);
        if (!applied) {
            std::cerr << "waxwing-replay: " << to_string(applied.error())
                      << '\n';
            return 2;
        }
    }
    const auto runs = run_comparison(plan);
    if (arguments.at("--json").asBool()) {
        print_json(std::cout, runs);
    } else {
        print_table(std::cout, runs);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(
        usage, std::vector<std::string>(argv + 1, argv + argc), true);
    try {
        return compare(arguments);
    } catch (const std::out_of_range& unknown) {
        std::cerr << "waxwing-replay: " << unknown.what() << '\n';
        return 2;
    }
}
