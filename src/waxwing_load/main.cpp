#include <iostream>
#include <vector>

#include <docopt/docopt.h>
#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/program/program_frame.hpp>

#include "waxwing_load/load_report.hpp"
#include "waxwing_load/load_run.hpp"

namespace {

using namespace waxwingvale;
using program::exit_code;

int as_int(exit_code code) {
    return static_cast<int>(code);
}

int run_load(const load::load_options& options) {
    kernel::event_loop loop;
    const kernel::monotonic_clock time;
    kernel::timer_service timers(time, loop);
    load::load_run run(loop, timers, options);
    loop.on_termination([&] { run.stop_early(); });
    const auto found = run.run();
    if (!found) {
        std::cerr << to_string(found.error()) << '\n';
        return as_int(exit_code::cannot_start);
    }
    std::cout << (options.json ? load::json_of(options, found.value())
                               : load::table_of(options, found.value()));
    return as_int(load::nothing_lost(found.value()) ? exit_code::ok
                                                    : exit_code::refused);
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        const auto options = load::read_load_options(
            docopt::docopt_parse(load::load_usage, words, true, true));
        if (!options) {
            std::cerr << to_string(options.error()) << '\n';
            return as_int(exit_code::usage);
        }
        return run_load(options.value());
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << load::load_usage;
        return as_int(exit_code::ok);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "waxwing-load " << program::version() << '\n';
        return as_int(exit_code::ok);
    } catch (const std::runtime_error& failure) {
        std::cerr << failure.what() << '\n' << load::load_usage;
        return as_int(exit_code::usage);
    }
}
