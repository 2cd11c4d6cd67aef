// Stand-in for backend servers.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

#include "standin/backend/simulated_backend.hpp"
#include "standin/program_frame.hpp"

namespace {

using namespace waxwingvale;

constexpr const char* usage = R"(standin-backend: stand-in backend servers.

Usage: standin-backend [options]

Options:
  --name=N           Name; servers of --count are NAME-1, NAME-2... [default: backend].
  --count=N          Backend servers in this process, one port each [default: 1].
  --port=N           Port of the first, the next take the next; 0: free ones [default: 0].
  --incarnation=N    0 takes the time of day in milliseconds [default: 0].
  --slots=N          Requests served at once [default: 2].
  --queue=N          Requests that wait; more are shed [default: 4].
  --service-ms=X     Mean service time [default: 5].
  --fixed            Every service time is the mean, else lognormal.
  --seed=N           Of the service times [default: 1].
  --crash-ms=N       How long a crashing request runs [default: 0].
  --cold-ms=N        Slow for that long after the start [default: 0].
  --cold-factor=X    And by that factor [default: 5].
  --history=FILE     Appends events as JSON lines.

Prints {"pid":..,"port":..,"servers":[{"name","port","incarnation"}]} when
ready. A request with the header X-Standin-Crash, or the text
crash-backend-server in its body, aborts the process. Command it by
  POST /-/fault?straggle=X&fail_fast=0|1&load_delay_ms=N&cold_start_ms=N
                &cold_factor=X&drain=1&silent=1
  POST /-/stop     drains, and ends when all is answered (so does SIGTERM)
  GET  /-/runs     GET /-/load     GET /-/health
)";

std::uint64_t incarnation_or_now(std::uint64_t given) {
    const auto today = std::chrono::system_clock::now().time_since_epoch();
    return given != 0
               ? given
               : static_cast<std::uint64_t>(
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         today)
                         .count());
}

duration milliseconds_of(const standin::arguments& given,
                         const std::string& option) {
    constexpr double us_per_ms = 1000;
    return duration(
        static_cast<duration::rep>(standin::real(given, option) * us_per_ms));
}

standin::backend_options common_options(const standin::arguments& given) {
    standin::backend_options options;
    options.incarnation =
        incarnation_or_now(standin::number(given, "--incarnation"));
    options.slots = static_cast<unsigned>(standin::number(given, "--slots"));
    options.queue = static_cast<unsigned>(standin::number(given, "--queue"));
    options.shape = given.at("--fixed").asBool()
                        ? standin::service_shape::fixed
                        : standin::service_shape::lognormal;
    options.service_time = milliseconds_of(given, "--service-ms");
    options.crash_delay = milliseconds_of(given, "--crash-ms");
    options.cold_start = milliseconds_of(given, "--cold-ms");
    options.cold_factor = standin::real(given, "--cold-factor");
    return options;
}

standin::backend_options options_of(const standin::arguments& given,
                                    std::uint64_t index) {
    auto options = common_options(given);
    options.name = given.at("--name").asString();
    if (standin::number(given, "--count") > 1) {
        options.name += "-" + std::to_string(index + 1);
    }
    const auto first_port = standin::number(given, "--port");
    options.port =
        static_cast<std::uint16_t>(first_port == 0 ? 0 : first_port + index);
    options.seed = standin::number(given, "--seed") + index;
    return options;
}

} // namespace

int main(int count, char** words) {
    const auto given = standin::read_arguments(usage, count, words);
    kernel::event_loop loop;
    const kernel::monotonic_clock time;
    kernel::timer_service timers(time, loop);
    standin::history_file history(
        given.at("--history") ? given.at("--history").asString() : "");
    std::vector<std::unique_ptr<standin::simulated_backend>> servers;
    nlohmann::json listed = nlohmann::json::array();
    for (std::uint64_t i = 0; i < standin::number(given, "--count"); ++i) {
        servers.push_back(std::make_unique<standin::simulated_backend>(
            loop, timers, options_of(given, i), history));
        auto& server = *servers.back();
        const auto started = server.start();
        if (!started) {
            std::cerr << to_string(started.error()) << '\n';
            return EXIT_FAILURE;
        }
        listed.push_back({{"name", server.options().name},
                          {"port", server.port()},
                          {"incarnation", server.options().incarnation}});
    }
    auto left = servers.size();
    const auto on_stopped = [&] {
        if (--left == 0) {
            loop.stop();
        }
    };
    for (auto& server : servers) {
        server->on_stop_wanted([&] { server->stop(on_stopped); });
    }
    loop.on_termination([&] {
        for (auto& server : servers) {
            server->stop(on_stopped);
        }
    });
    standin::print_ready({{"pid", getpid()},
                          {"port", servers.front()->port()},
                          {"servers", listed}});
    loop.run();
    return EXIT_SUCCESS;
}
