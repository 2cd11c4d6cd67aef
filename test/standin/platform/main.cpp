// Stand-in for the platform's configuration service.
#include <cstdlib>
#include <iostream>

#include "standin/platform/platform_server.hpp"
#include "standin/program_frame.hpp"

namespace {

constexpr const char* usage = R"(standin-platform: a stand-in for the platform.

Usage: standin-platform [--port=N]

Options:
  --port=N  Port of 127.0.0.1; 0 takes a free one [default: 0].

Prints {"port":N} when ready. Read GET /v1/values/NAME[?after=R&wait_ms=M].
Command it by
  PUT  /control/values/NAME[?revision=R]   publish the body
  POST /control/fault?mode=up|down|stale|slow[&ms=N][&ago=PUBLICATIONS]
  GET  /control/counts                     calls in all and by second
)";

} // namespace

int main(int count, char** words) {
    using namespace waxwingvale;
    const auto given = standin::read_arguments(usage, count, words);
    kernel::event_loop loop;
    const kernel::monotonic_clock time;
    kernel::timer_service timers(time, loop);
    standin::platform_server server(
        loop, timers,
        static_cast<std::uint16_t>(standin::number(given, "--port")));
    const auto started = server.start();
    if (!started) {
        std::cerr << to_string(started.error()) << '\n';
        return EXIT_FAILURE;
    }
    loop.on_termination([&] { loop.stop(); });
    standin::print_ready({{"port", server.port()}});
    loop.run();
    return EXIT_SUCCESS;
}
