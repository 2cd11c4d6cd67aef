// A randomized soak of the real programs as separate processes.
#include <chrono>
#include <iostream>

#include "standin/program_frame.hpp"
#include "standin/soak/soak_run.hpp"

namespace {

using namespace waxwingvale;

constexpr const char* usage = R"(standin-soak: plays seeded faults on a fleet.

Usage: standin-soak [--seed=N] [--count=N] [--seconds=S] [--terms]
                    [--keep-going]

Options:
  --seed=N      The first seed [default: 1].
  --count=N     Seeds in a row [default: 1].
  --seconds=S   Length of each run [default: 8].
  --terms       With backend servers that name limits and ask for rest.
  --keep-going  Go on to the next seed when one has broken something.

Finds the programs in the folder that WAXWING_BIN names. Exit codes: 0 nothing
broken, 1 something.
)";

bool play(std::uint64_t seed, std::chrono::milliseconds length, bool terms) {
    auto plan = standin::make_plan(seed, length);
    if (terms) {
        standin::add_terms(plan);
    }
    std::cout << to_string(plan) << std::flush;
    try {
        standin::soak_run run(plan);
        const auto broken = run.play();
        for (const auto& each : broken) {
            std::cout << "  BROKEN: " << each << '\n';
        }
        std::cout << "  seed " << seed << (broken.empty() ? " ok " : " broken ")
                  << run.summary() << std::endl;
        return broken.empty();
    } catch (const std::exception& failure) {
        std::cout << "  BROKEN: seed " << seed
                  << " ended early: " << failure.what() << std::endl;
        return false;
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto given = standin::read_arguments(usage, argc, argv);
    const auto first = standin::number(given, "--seed");
    const auto count = standin::number(given, "--count");
    const std::chrono::seconds length(standin::number(given, "--seconds"));
    const bool terms = given.at("--terms").asBool();
    bool whole = true;
    for (auto seed = first; seed < first + count; ++seed) {
        whole = play(seed, length, terms) && whole;
        if (!whole && !given.at("--keep-going").asBool()) {
            break;
        }
    }
    return whole ? 0 : 1;
}
