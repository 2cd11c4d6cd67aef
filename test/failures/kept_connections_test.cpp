#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/fleet.hpp"
#include "standin/raw_peer.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale::standin;

namespace {

const std::string read_request = "GET /desk/games HTTP/1.1\r\nHost: h\r\n"
                                 "Waxwing-Tenant: leagues\r\n\r\n";

// Connections that callers keep to one instance.
struct kept_connections : loop_fixture {
    std::vector<std::unique_ptr<raw_connection>> all;

    kept_connections(std::uint16_t port, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            all.push_back(connect_to(loop, port));
        }
    }
    void send_to_all() {
        for (const auto& each : all) {
            each->take_received();
            each->send(read_request);
        }
    }
    bool await_status(const std::string& status) {
        return run_until([&] {
            return std::all_of(all.begin(), all.end(), [&](const auto& each) {
                return each->received_contains("HTTP/1.1 " + status) ||
                       each->ended();
            });
        });
    }
    std::size_t count_of(const std::string& status) const {
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const auto& each) {
                return each->received_contains("HTTP/1.1 " + status);
            }));
    }
};

} // namespace

// Guards against a stop that, on a machine short of processor time, closes kept
// connections on which requests have come that it has not read yet.
TEST_CASE("a stopping instance that gets no processor time cuts no request") {
    fleet running({});
    running.start();
    auto& process = running.instance(0).process();
    constexpr std::size_t callers = 20;
    kept_connections kept(running.instance(0).caller_port(), callers);
    kept.send_to_all();
    REQUIRE(kept.await_status("200"));
    process.signal(SIGTERM);
    kept.run_for(30ms); // idle for too short a time to be closed
    process.signal(SIGSTOP);
    kept.send_to_all();
    kept.run_for(300ms);
    process.signal(SIGCONT);
    CHECK(kept.await_status("200"));
    CHECK(kept.count_of("200") == callers);
}

// Guards against a stop whose time ends and that leaves callers without an
// answer, those too of whom "not run" can be said.
TEST_CASE("a stop whose time ends answers what is open") {
    fleet_options options;
    options.entry_instances = 1;
    options.backend_servers = 1;
    options.slots = 1;
    options.hedges = 0;
    options.backend_options = {"--service-ms=5", "--fixed"};
    options.instance_settings = {{"drain_timeout_ms", 4000}};
    fleet running(options);
    auto configuration = running.configuration();
    for (auto& each : configuration["services"][0]["classes"]) {
        each["deadline_ms"] = 20'000;
    }
    running.start(configuration);
    running.backend(0).fault("straggle=4000"); // 20 s
    kept_connections kept(running.instance(0).caller_port(), 3);
    kept.send_to_all();
    kept.run_for(300ms);
    running.instance(0).process().signal(SIGTERM);
    CHECK(kept.run_until([&] {
        return std::all_of(kept.all.begin(), kept.all.end(),
                           [](const auto& each) { return each->ended(); });
    }));
    CHECK(kept.count_of("504") == 1); // its server is at work
    CHECK(kept.count_of("503") == 2); // they wait for a slot
    kept.all.clear();
    INFO(running.instance(0).process().read_rest());
    CHECK(running.instance(0).process().wait().value_or(-1) == 0);
}
