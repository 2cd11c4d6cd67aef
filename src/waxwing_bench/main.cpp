#include <iostream>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "waxwing_bench/guard_benchmark.hpp"
#include "waxwing_bench/key_benchmark.hpp"

#include <waxwingvale/program/program_frame.hpp>

namespace {

using namespace waxwingvale;
using program::exit_code;

constexpr char usage[] =
    R"(waxwing-bench: measures what single decisions cost.

Usage:
  waxwing-bench keys [options]
  waxwing-bench guards [options]
  waxwing-bench (--help | --version)

Options:
  --keys=N          Keys remembered at once [default: 100000].
  --answer-bytes=N  Body of each remembered answer [default: 300].
  --rounds=N        Rounds, of which the median counts [default: 5].
  --version         Print the version and end.
  --help            Print this and end.

Exit codes: 0 measured, 2 usage.
)";

int as_int(exit_code code) {
    return static_cast<int>(code);
}

std::size_t positive(const std::map<std::string, docopt::value>& given,
                     const std::string& option) {
    const auto value = given.at(option).asLong();
    if (value <= 0) {
        throw std::invalid_argument(option + " must be more than 0");
    }
    return static_cast<std::size_t>(value);
}

bench::bench_size size_from(const std::map<std::string, docopt::value>& given) {
    bench::bench_size size;
    size.keys = positive(given, "--keys");
    size.answer_bytes = positive(given, "--answer-bytes");
    size.rounds = static_cast<unsigned>(positive(given, "--rounds"));
    return size;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        const auto given = docopt::docopt_parse(usage, words, true, true);
        const auto size = size_from(given);
        std::cout << bench::table_of(given.at("keys").asBool()
                                         ? bench::measure_keys(size)
                                         : bench::measure_guards(size));
        return as_int(exit_code::ok);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return as_int(exit_code::ok);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "waxwing-bench " << program::version() << '\n';
        return as_int(exit_code::ok);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n' << usage;
        return as_int(exit_code::usage);
    }
}
