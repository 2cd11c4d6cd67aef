#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <waxwingvale/io/http_server.hpp>

#include "standin/http_request_once.hpp"
#include "standin/process.hpp"
#include "standin/raw_peer.hpp"

#include "waxwing_load/load_run.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;
using nlohmann::json;

namespace {

std::uint16_t port_of(const json& ready) {
    return ready.at("port").get<std::uint16_t>();
}

std::string loopback(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

// waxwing-load run to its end.
struct finished_load {
    explicit finished_load(std::vector<std::string> words)
        : process("waxwing-load", words),
          output(process.read_rest()),
          code(process.wait().value_or(-1)) {}
    child_process process;
    std::string output;
    int code;
};

// Answers askings for addresses, and as an entry instance, on one loop with the
// run under test.
struct fake_entry {
    kernel::event_loop loop;
    kernel::monotonic_clock time;
    kernel::timer_service timers{time, loop};
    io::http_server server{loop, {}};
    load::load_options options;
    std::vector<io::http_request> seen;

    explicit fake_entry(
        std::function<io::http_response(const io::http_request&)> serve) {
        REQUIRE(server.start([this, serve](io::http_request request,
                                           io::http_responder respond) {
            if (request.target.compare(0, 13, "/v1/addresses") == 0) {
                respond(steer());
                return;
            }
            seen.push_back(request);
            respond(serve(request));
        }));
        options.steers = {{"127.0.0.1", server.port()}};
        options.service = "assign-desk";
        options.read_path = options.write_path = "/games";
        options.rate = 1000;
        options.calls = 20;
        options.length = std::chrono::seconds(10);
        options.deadline = std::chrono::seconds(10);
        options.attempts = 3;
        options.open_limit = 100;
        options.write_fraction = 1;
    }

    io::http_response steer() const {
        const json body = {
            {"addresses", {{{"host", "127.0.0.1"}, {"port", server.port()}}}},
            {"keep_ms", 60000},
            {"key_prefix", "sea-1.7"}};
        return {200, {}, body.dump()};
    }

    load::load_result run() {
        load::load_run running(loop, timers, options);
        auto found = running.run();
        REQUIRE(found);
        return found.value();
    }
};

std::string header_of(const io::http_request& request,
                      const std::string& name) {
    const auto* found = io::find_header(request.headers, name);
    return found == nullptr ? "" : *found;
}

io::http_response echo(const io::http_request& request) {
    return {200, {{"X-Request-Id", header_of(request, "X-Request-Id")}}, ""};
}

} // namespace

TEST_CASE("direct calls are counted and measured") {
    child_process backend("standin-backend",
                          {"--count=2", "--service-ms=0", "--queue=100"});
    const auto servers = backend.read_ready().at("servers");
    const finished_load load({"--direct=" + loopback(servers[0].at("port")) +
                                  "," + loopback(servers[1].at("port")),
                              "--calls=40", "--rate=1000", "--expect-echo",
                              "--json"});
    CHECK(load.code == 0);
    const auto report = json::parse(load.output);
    CHECK(report.at("direct").at("ends").at("answered") == 40);
    CHECK(report.at("direct").at("latency_ms").at("p99") > 0);
}

TEST_CASE("a slow start of a call counts from the time it was due") {
    // One backend server with one slot takes 20 ms a call and five calls are
    // due at once: the last caller waits five times as long. A tool that sends
    // the next call only after an answer would tell 20 ms for each.
    child_process backend("standin-backend", {"--slots=1", "--queue=10",
                                              "--service-ms=20", "--fixed"});
    const finished_load load(
        {"--direct=" + loopback(port_of(backend.read_ready())), "--calls=5",
         "--schedule=burst", "--callers=5", "--json"});
    const auto report = json::parse(load.output);
    CHECK(report.at("direct").at("latency_ms").at("max") >= 97);
}

TEST_CASE("at-most-once calls carry keys made from the prefix, all different") {
    fake_entry entry(echo);
    const auto found = entry.run();
    CHECK(found.through.count(load::call_end::answered) == 20);
    std::set<std::string> keys;
    for (const auto& request : entry.seen) {
        const auto key = header_of(request, "Idempotency-Key");
        CHECK(key.compare(0, 8, "sea-1.7.") == 0);
        CHECK(request.target == "/assign-desk/games");
        keys.insert(key);
    }
    CHECK(keys.size() == 20);
}

TEST_CASE("a refused call is asked again with its key") {
    std::set<std::string> known;
    fake_entry entry([&](const io::http_request& request) {
        const auto key = header_of(request, "Idempotency-Key");
        if (known.insert(key).second) {
            return io::http_response{503,
                                     {{"Waxwing-Outcome", "not-run"},
                                      {"Waxwing-Retry-After-Ms", "1"}},
                                     ""};
        }
        return echo(request);
    });
    const auto found = entry.run();
    CHECK(found.through.count(load::call_end::answered) == 20);
    CHECK(found.through.attempts() == 40);
    CHECK(known.size() == 20);
    CHECK(found.through.outcomes().at("not-run") == 20);
}

TEST_CASE("somebody else's answer is told") {
    fake_entry entry([](const io::http_request&) {
        return io::http_response{200, {{"X-Request-Id", "another"}}, ""};
    });
    CHECK(entry.run().through.count(load::call_end::foreign) == 20);
}

TEST_CASE("calls that nobody answers are lost, and the exit code says so") {
    child_process backend("standin-backend", {});
    const auto port = port_of(backend.read_ready());
    backend.kill();
    const finished_load load(
        {"--direct=" + loopback(port), "--calls=3", "--attempts=2"});
    CHECK(load.code == 1);
}

// Guards against bytes that are no answer and count as one in a measurement.
TEST_CASE("calls that get no answer but other bytes are lost") {
    const std::string bytes =
        GENERATE("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                 "HTTP/1.1 200 OK\r\n");
    CAPTURE(bytes);
    loop_fixture world;
    raw_listener server(world.loop);
    const auto answering =
        world.timers.every(std::chrono::milliseconds(2), [&](time_point) {
            for (std::size_t each = 0; each < server.count(); ++each) {
                if (server.at(each).received_contains("\r\n\r\n")) {
                    server.at(each).take_received();
                    server.at(each).send(bytes);
                    server.at(each).end_writing();
                }
            }
        });
    load::load_options options;
    options.direct = {{"127.0.0.1", server.port()}};
    options.read_path = options.write_path = "/games";
    options.rate = 1000;
    options.calls = 5;
    options.length = std::chrono::seconds(10);
    options.deadline = std::chrono::seconds(5);
    options.open_limit = 100;
    load::load_run running(world.loop, world.timers, options);
    const auto found = running.run();
    REQUIRE(found);
    CHECK(found.value().direct.count(load::call_end::lost) == 5);
    CHECK(found.value().direct.statuses().empty());
}

TEST_CASE("a bad command line ends with code 2, --version with 0") {
    CHECK(finished_load({"--direct=192.0.2.1:80"}).code == 2);
    CHECK(finished_load({"--calls=3"}).code == 2);
    const finished_load version({"--version"});
    CHECK(version.code == 0);
    CHECK(version.output.find("waxwing-load 0.") == 0);
}

TEST_CASE("without an address to use the tool cannot start") {
    fake_entry entry(echo);
    entry.options.steers = {{"127.0.0.1", free_port()}};
    load::load_run running(entry.loop, entry.timers, entry.options);
    const auto found = running.run();
    REQUIRE_FALSE(found);
    CHECK(found.error().step == "ask for addresses");
}
