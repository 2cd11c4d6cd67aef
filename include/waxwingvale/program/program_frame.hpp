#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <waxwingvale/forwarding/caller_server.hpp>
#include <waxwingvale/forwarding/overload_guard.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/service_registry.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/program/metrics.hpp>
#include <waxwingvale/program/resource_plan.hpp>
#include <waxwingvale/program/settings.hpp>

namespace waxwingvale::program {

// How every program ends; docs/commands/exit-codes.md documents them.
enum class exit_code : int {
    ok = 0,              // did what was asked; also after SIGTERM
    refused = 1,         // what was checked is not valid, or a query failed
    usage = 2,           // the command line is not understood
    settings = 3,        // the settings file is not valid
    cannot_start = 4,    // an address cannot be listened on, or the like
    drain_timed_out = 5, // stopped with requests still in flight
    internal = 6         // a fault of ours
};

// The version of this release, "0.1.0".
const char* version();

// What the frame gives to the parts of a program.
struct program_environment {
    const program::settings& settings;
    kernel::event_loop& loop;
    kernel::timer_service& timers;
    kernel::service_registry& services;
    program::metrics& metrics;
    // How much the parts may hold and have open, and who watches over it; null:
    // nothing is too much.
    program::resource_plan plan{};
    forwarding::overload_guard_ptr guard{};
};

// Where a server of the instance listens, with as many connections as the plan
// leaves to it; 0: there is no plan.
forwarding::caller_server_options
server_options(const program_environment& environment, std::uint16_t port,
               std::size_t connections);

// The ports a program listens on, by what they are for ("callers", "steer",
// "peers", "admin", "metrics"); told by the ready line.
using port_map = std::map<std::string, std::uint16_t>;

// Serves the program's metrics at the port of its settings, if they name one,
// and adds that to the ports told by the ready line. Fails like
// http_server::start.
result<std::unique_ptr<metrics_endpoint>>
serve_metrics(const program_environment& environment,
              std::optional<std::uint16_t> port, port_map& ports);

// A program that runs until it is told to stop.
class server_program {
public:
    virtual ~server_program() = default;

    // Opens its ports and begins to serve.
    virtual result<port_map> start() = 0;

    // SIGTERM or SIGINT came: takes no new work, lets what is in flight
    // finish and then calls `stopped`, at once or later. When that takes
    // longer than its drain timeout the process ends without.
    virtual void stop(std::function<void()> stopped) = 0;

    // The settings file has changed, and its new content is valid. Takes over
    // what can change while it runs; addresses cannot.
    virtual void reload(const settings& changed) { static_cast<void>(changed); }
};

// What a main says of its program.
struct program_description {
    std::string name;    // "waxwing-node"
    std::string summary; // one sentence for --help
    std::function<std::unique_ptr<server_program>(const program_environment&)>
        create;
};

// The whole of a main: usage by docopt (--settings FILE, --check-settings,
// --version, --help), settings, log, loop, one ready line on standard output
// `{"ready":true,"program":"waxwing-node","ports":{"callers":1234}}`, and a
// graceful stop. Returns the process's exit code.
int run_program(int argc, char** argv, const program_description& program);

// The ready line without its line end.
std::string ready_line(const std::string& program, const port_map& ports);

} // namespace waxwingvale::program
