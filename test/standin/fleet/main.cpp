// Measures entry instances on this machine; tools/measure-control
// runs it in all the ways whose figures are in docs/design.
#include <cstdlib>
#include <iostream>

#include "standin/fleet/measurements.hpp"
#include "standin/program_frame.hpp"

namespace {

constexpr const char* usage = R"(standin-fleet: measures entry instances.

Usage: standin-fleet [options] (configuration | drain | cost)

Options:
  --instances=N      entry instances [default: 18].
  --rounds=N         Changes, or seconds of each part of cost [default: 50].
  --backends=N       Backend servers in the configuration [default: 31].
  --platform-for=N   Only the first N can reach the platform; 0: all
                     [default: 0].

Prints one JSON line.
)";

} // namespace

int main(int count, char** words) {
    using namespace waxwingvale;
    const auto given = standin::read_arguments(usage, count, words);
    standin::measurement_options options;
    options.instances =
        static_cast<unsigned>(standin::number(given, "--instances"));
    options.rounds = static_cast<unsigned>(standin::number(given, "--rounds"));
    options.backend_servers =
        static_cast<unsigned>(standin::number(given, "--backends"));
    options.platform_for =
        static_cast<unsigned>(standin::number(given, "--platform-for"));
    standin::measurements measured(options);
    if (given.at("configuration").asBool()) {
        std::cout << measured.configuration().dump() << '\n';
    } else if (given.at("drain").asBool()) {
        std::cout << measured.drain().dump() << '\n';
    } else {
        std::cout << measured.cost().dump() << '\n';
    }
    return EXIT_SUCCESS;
}
