#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "standin/fleet.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

std::uint64_t runs_begun(backend_process& on) {
    return on.runs().at("begun").get<std::uint64_t>();
}

std::uint64_t refusals(backend_process& by, const std::string& why) {
    return by.runs().at("refused").value(why, std::uint64_t{0});
}

fleet_options slow_backends() {
    fleet_options options;
    options.backend_options = {"--service-ms=20"};
    return options;
}

} // namespace

TEST_CASE("a backend server that stops gracefully takes no caller with it") {
    // An operator asks a backend server to stop while it serves. It refuses
    // what is new, finishes what it runs and ends. Callers must not notice;
    // were a request in flight cut, its caller would wait for nothing.
    fleet running(slow_backends());
    running.start();
    auto load = running.start_load(
        {"--calls=500", "--rate=150", "--write-fraction=0.5"});
    auto& leaving = running.backend(0);
    REQUIRE(wait_until([&] { return runs_begun(leaving) >= 50; }));
    leaving.process().signal(SIGTERM);
    CHECK(leaving.process().wait() == 0);
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") == 500);
    const auto history = running.history();
    CHECK(history.most_runs_of_a_key() == 1);
    CHECK(history.moment_of("stopped", "desk-1") >= 0);
}

TEST_CASE("a leaving backend server is offered no new work") {
    // A backend server drains for long and refuses everything new meanwhile.
    // Were it offered work again and again, each offer would cost a caller a
    // detour; one refusal has to be enough for all entry instances.
    auto options = slow_backends();
    options.hedges = 0;
    fleet running(options);
    running.start();
    auto load = running.start_load(
        {"--calls=600", "--rate=150", "--write-fraction=0.5"});
    auto& leaving = running.backend(0);
    REQUIRE(wait_until([&] { return runs_begun(leaving) >= 50; }));
    leaving.fault("drain=1");
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 600);
    // Work that was under way when it began to leave: at most its slots, from
    // each entry instance.
    CHECK(refusals(leaving, "leaving") <= 2 * 4);
    CHECK(running.history().ended("cancelled") == 0);
}

TEST_CASE("reads of a killed backend server are answered by another") {
    // A backend server's process dies. Reads that it was serving are run
    // again elsewhere, at once, and their callers see nothing of it.
    fleet running(slow_backends());
    running.start();
    auto load =
        running.start_load({"--calls=500", "--rate=150", "--attempts=1"});
    auto& dying = running.backend(0);
    REQUIRE(wait_until([&] { return runs_begun(dying) >= 50; }));
    REQUIRE(wait_until([&] { return dying.load().at("in_flight") > 0; }));
    dying.process().kill();
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 500);
}

TEST_CASE("bookings of a killed backend server run at most once") {
    // A backend server's process dies with bookings in flight. Whether those
    // ran nobody can say: their callers are told "unknown" at once, and none
    // is run a second time. A doubled booking would be paid twice.
    fleet running(slow_backends());
    running.start();
    auto load =
        running.start_load({"--calls=500", "--rate=150", "--write-fraction=1"});
    auto& dying = running.backend(0);
    REQUIRE(wait_until([&] { return runs_begun(dying) >= 50; }));
    REQUIRE(wait_until([&] { return dying.load().at("in_flight") > 0; }));
    dying.process().kill();
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") + report.ended("unknown") == 500);
    // At most what its slots held.
    CHECK(report.ended("unknown") <= 4);
    CHECK(running.history().most_runs_of_a_key() == 1);
}

TEST_CASE("a killed backend server that comes back is used again") {
    // A backend server's process dies and is started again at the same
    // address. Were it believed dead for good, the fleet would shrink with
    // every restart.
    fleet running(slow_backends());
    running.start();
    auto load = running.start_load({"--calls=900", "--rate=150"});
    auto& restarted = running.backend(0);
    REQUIRE(wait_until([&] { return runs_begun(restarted) >= 50; }));
    restarted.restart();
    CHECK(wait_until([&] { return runs_begun(restarted) >= 20; }));
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 900);
}

TEST_CASE("a request that crashes backend servers ends two of them at most") {
    // One request crashes whichever backend server runs it, and its caller
    // sends it again and again, by way of different entry instances. Were it
    // run each time, the whole service would be down within seconds.
    fleet_options options;
    options.backend_servers = 5;
    fleet running(options);
    running.start();
    for (int i = 0; i < 8; ++i) {
        auto call = running.read_call(static_cast<std::size_t>(i % 2));
        call.headers.push_back({"X-Standin-Crash", "1"});
        const auto ended = http_request_once(std::move(call));
        CHECK(ended.response.has_value());
        CHECK(status_of(ended) != 200);
    }
    int died = 0;
    for (std::size_t i = 0; i < options.backend_servers; ++i) {
        died += running.backend(i).process().running() ? 0 : 1;
    }
    CHECK(died <= 2);
    CHECK(status_of(http_request_once(running.read_call(0))) == 200);
    CHECK(status_of(http_request_once(running.read_call(1))) == 200);
}

TEST_CASE("operators see which requests are refused for ending servers") {
    // Guards against a request that all instances refuse, while the page on
    // which operators look for it is empty.
    fleet_options options;
    options.backend_servers = 5;
    fleet running(options);
    running.start();
    const auto shown = [&](std::size_t instance) {
        const auto page = running.instance(instance).admin("/v1/quarantine");
        return page.is_object() ? page.at("fingerprints").size() : 0;
    };
    CHECK(wait_until([&] {
        auto call = running.read_call(0);
        call.headers.push_back({"X-Standin-Crash", "1"});
        http_request_once(std::move(call));
        return shown(0) == 1 && shown(1) == 1;
    }));
}

TEST_CASE("a booking that crashes backend servers ends two of them at most") {
    // As above with a booking, which its caller sends with a new key each
    // time because the former one's answer was "unknown".
    fleet_options options;
    options.backend_servers = 5;
    fleet running(options);
    running.start();
    for (int i = 0; i < 8; ++i) {
        const auto by = static_cast<std::size_t>(i % 2);
        auto call =
            running.book_call(by, running.key_of(by, std::to_string(i + 1)));
        call.body = "crash-backend-server";
        const auto ended = http_request_once(std::move(call));
        CHECK(ended.response.has_value());
        CHECK(status_of(ended) != 200);
    }
    int died = 0;
    for (std::size_t i = 0; i < options.backend_servers; ++i) {
        died += running.backend(i).process().running() ? 0 : 1;
    }
    CHECK(died >= 1);
    CHECK(died <= 2);
    CHECK(status_of(http_request_once(running.read_call(0))) == 200);
}

TEST_CASE("a backend server that fails at once does not attract calls") {
    // A backend server answers 500 at once to everything. Its slots are
    // always free, so whoever sends by free slots alone sends it nearly all
    // calls, and nearly all callers see an error.
    fleet running(slow_backends());
    running.start();
    running.backend(0).fault("fail_fast=1");
    const auto before = runs_begun(running.backend(0));
    auto load =
        running.start_load({"--calls=600", "--rate=150", "--attempts=1"});
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(runs_begun(running.backend(0)) - before < 600 / 10);
    CHECK(report.ended("answered") > 600 * 9 / 10);
}

TEST_CASE("a slow answer is waited for beside its second copy") {
    // Every read takes far longer than reads here ever did. Were the first
    // attempt broken off for its silence, its work would be lost and the second
    // one come too late: callers would see errors while both servers are well.
    fleet_options options;
    options.backend_options = {"--service-ms=600", "--fixed"};
    fleet running(options);
    running.start();
    auto load = running.start_load({"--calls=20", "--rate=5", "--attempts=1"});
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 20);
}
