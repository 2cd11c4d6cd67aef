#include <iostream>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "waxwing_history/history_check.hpp"

#include <waxwingvale/program/program_frame.hpp>

namespace {

using namespace waxwingvale;
using program::exit_code;

constexpr char usage[] =
    R"(waxwing-history: checks recorded runs against what must always hold.

Usage:
  waxwing-history check [options] FILE...
  waxwing-history (--help | --version)

Options:
  --probe-rate=N        Probes a second to one backend server [default: 0.1].
  --no-new-work-ms=N    How soon a leaving backend server gets no new work
                        [default: 3000].
  --in-force-ms=N       How soon a new configuration is in force everywhere
                        [default: 5000].
  --version             Print the version and end.
  --help                Print this and end.

Exit codes: 0 nothing broken, 1 a promise broken, 2 usage, 3 a file is not a
history.
)";

int as_int(exit_code code) {
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        const auto given = docopt::docopt_parse(usage, words, true, true);
        const auto checked = history_check::check_files(
            given.at("FILE").asStringList(), history_check::bounds_from(given));
        if (!checked) {
            std::cerr << to_string(checked.error()) << '\n';
            return as_int(exit_code::settings);
        }
        std::cout << history_check::report(checked.value());
        return as_int(checked.value().found.empty() ? exit_code::ok
                                                    : exit_code::refused);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return as_int(exit_code::ok);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "waxwing-history " << program::version() << '\n';
        return as_int(exit_code::ok);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n' << usage;
        return as_int(exit_code::usage);
    }
}
