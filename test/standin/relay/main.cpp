// Stand-in for the network between two ports.
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/io/http_server.hpp>

#include "standin/program_frame.hpp"
#include "standin/relay/relay_route.hpp"
#include "standin/request_target.hpp"

namespace {

using namespace waxwingvale;

constexpr const char* usage = R"(standin-relay: passes TCP connections on.

Usage: standin-relay (--to=PORT)...

Options:
  --to=PORT  A port of 127.0.0.1 to pass connections on to; 0: told later.

Prints {"port":CONTROL,"routes":[{"port":N,"to":M}]} when ready, one route for
each --to in their order. Command it by
  POST /control/route?mode=pass|drop|blackhole|silent[&delay_ms=N][&to=PORT]
       [&route=INDEX]      of one route, or without INDEX of all
  GET  /control/routes
)";

using route_list = std::vector<std::unique_ptr<standin::relay_route>>;

nlohmann::json describe(const route_list& routes) {
    auto listed = nlohmann::json::array();
    for (const auto& route : routes) {
        listed.push_back({{"port", route->port()},
                          {"to", route->target_port()},
                          {"connections", route->connections()}});
    }
    return listed;
}

bool change(standin::relay_route& route, const standin::request_target& to) {
    static const std::map<std::string, standin::relay_mode> modes = {
        {"pass", standin::relay_mode::pass},
        {"drop", standin::relay_mode::drop},
        {"blackhole", standin::relay_mode::blackhole},
        {"silent", standin::relay_mode::silent}};
    if (to.has("delay_ms")) {
        route.set_delay(std::chrono::milliseconds(to.number("delay_ms", 0)));
    }
    route.set_target(
        static_cast<std::uint16_t>(to.number("to", route.target_port())));
    const auto found = modes.find(to.text("mode", "pass"));
    if (found == modes.end()) {
        return false;
    }
    route.set_mode(found->second);
    return true;
}

io::http_response command(const route_list& routes,
                          const io::http_request& request) {
    constexpr unsigned ok = 200;
    constexpr unsigned bad_request = 400;
    const standin::request_target target(request.target);
    if (target.path() != "/control/route") {
        return {ok, {}, describe(routes).dump()};
    }
    const auto only = target.number("route", routes.size());
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const bool meant = !target.has("route") || i == only;
        if (meant && !change(*routes[i], target)) {
            return {bad_request, {}, "no such mode\n"};
        }
    }
    return {ok, {}, describe(routes).dump()};
}

} // namespace

int main(int count, char** words) {
    const auto given = standin::read_arguments(usage, count, words);
    kernel::event_loop loop;
    const kernel::monotonic_clock time;
    kernel::timer_service timers(time, loop);
    route_list routes;
    for (const auto& to : given.at("--to").asStringList()) {
        const auto port = std::strtoul(to.c_str(), nullptr, 10);
        routes.push_back(std::make_unique<standin::relay_route>(
            loop, timers, static_cast<std::uint16_t>(port)));
        const auto listening = routes.back()->listen(0);
        if (!listening) {
            std::cerr << to_string(listening.error()) << '\n';
            return EXIT_FAILURE;
        }
    }
    io::http_server control(loop, {});
    const auto started = control.start(
        [&](io::http_request request, io::http_responder respond) {
            respond(command(routes, request));
        });
    if (!started) {
        std::cerr << to_string(started.error()) << '\n';
        return EXIT_FAILURE;
    }
    loop.on_termination([&] { loop.stop(); });
    standin::print_ready(
        {{"port", control.port()}, {"routes", describe(routes)}});
    loop.run();
    return EXIT_SUCCESS;
}
