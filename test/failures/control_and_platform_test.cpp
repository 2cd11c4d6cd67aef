#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "standin/fleet.hpp"
#include "standin/peer_relays.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;
using nlohmann::json;

namespace {

const std::string second_service = "desk-two";

// A fleet, and the backend server of a second service, which its first
// configuration does not name: whether a later one is in force shows by
// calling that service.
struct two_service_fleet : fleet {
    two_service_fleet() : fleet({}) {}
    backend_process second_backend{"two-1", {"--service-ms=5"}, ""};

    json with_second_service() const {
        auto changed = configuration();
        auto copy = changed["services"][0];
        copy["name"] = second_service;
        auto& servers = copy["backend_servers"];
        servers = json::array({servers[0]});
        servers[0]["name"] = second_backend.name();
        servers[0]["port"] = second_backend.port();
        changed["services"].push_back(copy);
        return changed;
    }
};

unsigned second_service_status(const fleet& of, std::size_t instance) {
    auto call = of.read_call(instance);
    call.target = "/" + second_service + "/";
    return status_of(http_request_once(std::move(call)));
}

bool second_service_everywhere(const fleet& of) {
    for (std::size_t i = 0; i < of.instance_count(); ++i) {
        if (second_service_status(of, i) != 200) {
            return false;
        }
    }
    return true;
}

std::uint64_t runs_begun(fleet& of) {
    return of.backend(0).runs().at("begun").get<std::uint64_t>() +
           of.backend(1).runs().at("begun").get<std::uint64_t>();
}

bool wait_for_runs(fleet& of, std::uint64_t count) {
    return wait_until([&] { return runs_begun(of) >= count; });
}

} // namespace

TEST_CASE("instances that hear of nobody lose no request") {
    // The network between the entry instances is cut and the platform is down,
    // so that none of them hears anything new, while callers are served.
    // Callers must not notice; were word from others needed for each call,
    // all would be refused until then. What is published afterwards must come
    // into force.
    two_service_fleet running;
    const peer_relays network(running);
    running.start();
    auto load = running.start_load(
        {"--calls=900", "--rate=300", "--write-fraction=0.3"});
    REQUIRE(wait_for_runs(running, 200));
    running.platform().fault("down");
    network.set("blackhole");
    REQUIRE(wait_for_runs(running, 500));
    network.set("pass");
    running.platform().fault("up");
    running.publish(running.with_second_service());
    CHECK(wait_until([&] { return second_service_everywhere(running); }));
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") == 900);
    CHECK(running.history().most_runs_of_a_key() == 1);
}

TEST_CASE("while the platform is down calls go on") {
    // The platform's service is down for long. Callers must not notice, and
    // what is published after it came back must come into force.
    two_service_fleet running;
    running.start();
    running.platform().fault("down");
    auto load = running.start_load(
        {"--calls=300", "--rate=300", "--write-fraction=0.3"});
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 300);
    running.platform().fault("up");
    running.publish(running.with_second_service());
    CHECK(wait_until([&] { return second_service_everywhere(running); }));
}

TEST_CASE("a stale platform never takes a configuration back") {
    // The platform answers an older revision than the one in force, also to an
    // instance that has just started and knows nothing. A user would
    // see a service that was there disappear again.
    two_service_fleet running;
    running.start();
    running.publish(running.with_second_service());
    REQUIRE(wait_until([&] { return second_service_everywhere(running); }));
    running.platform().fault("stale");
    auto calls = running.start_load(
        {"--calls=600", "--rate=300", "--attempts=20"}, second_service);
    const auto served = [&] {
        return running.second_backend.runs().at("begun").get<int>();
    };
    REQUIRE(wait_until([&] { return served() >= 100; }));
    CHECK(running.instance(0).stop() == 0);
    running.instance(0).start();
    REQUIRE(wait_until([&] { return served() >= 300; }));
    // The stale list of instances names nobody new either.
    const auto report = finish_load(calls);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 600);
    CHECK(second_service_everywhere(running));
}

TEST_CASE("an older revision that is published last does not come into force") {
    // Somebody restores the platform from a copy, and it gives out an old
    // revision as its newest. What was accepted must stay.
    two_service_fleet running;
    running.start();
    const auto revision = running.publish(running.with_second_service());
    REQUIRE(wait_until([&] { return second_service_everywhere(running); }));
    const auto calls_before =
        running.platform().counts().at("calls").get<std::uint64_t>();
    running.platform().publish("configuration", running.configuration().dump(),
                               revision - 1);
    // Every reader of both instances has read it once more.
    REQUIRE(wait_until([&] {
        return running.platform().counts().at("calls") >= calls_before + 4;
    }));
    CHECK(second_service_everywhere(running));
    running.instance(0).process().kill();
    running.instance(0).start();
    REQUIRE(wait_until([&] {
        return running.platform().counts().at("calls") >= calls_before + 8;
    }));
    REQUIRE(wait_until([&] { return running.serves(running.instance(0)); }));
    CHECK(second_service_everywhere(running));
}

TEST_CASE("a file with a mistake changes nothing, and a later good one does") {
    // An operator publishes a file with a mistake while callers are served.
    // Callers must not notice, and the operator must be able to see it.
    two_service_fleet running;
    running.start();
    auto load = running.start_load(
        {"--calls=600", "--rate=300", "--write-fraction=0.3"});
    REQUIRE(wait_for_runs(running, 100));
    auto broken = running.with_second_service();
    broken["services"][0]["backend_servers"][0]["slots"] = -1;
    const auto refused = running.publish(broken);
    CHECK(wait_until([&] {
        const auto status = running.instance(0).admin("/v1/status");
        const json::json_pointer revision("/configuration/refused/revision");
        return status.contains(revision) && status.at(revision) == refused;
    }));
    CHECK(second_service_status(running, 0) == 404);
    running.publish(running.with_second_service());
    CHECK(wait_until([&] { return second_service_everywhere(running); }));
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 600);
}

TEST_CASE("an instance that has just started does not say that nothing ran") {
    // A booking has run, and its entry instance is killed and started again
    // while the platform is down, so that it has no configuration yet. The
    // phone asks again. "Not run" would make it book a second time, under a
    // new key; nobody knows more than "unknown".
    fleet_options options;
    options.entry_instances = 1;
    fleet running(options);
    running.start();
    const auto key = running.key_of(0, "1");
    REQUIRE(status_of(http_request_once(running.book_call(0, key))) == 200);
    running.platform().fault("down");
    running.instance(0).process().kill();
    running.instance(0).start();
    const auto again = http_request_once(running.book_call(0, key));
    REQUIRE(again.response.has_value());
    CHECK(status_of(again) != 200);
    CHECK(*io::find_header(again.response.value().headers, "Waxwing-Outcome") ==
          "unknown");
    CHECK(running.history().runs_of(key) == 1);
}

TEST_CASE("who comes before the configuration is there may soon come back") {
    // All instances were killed, and callers come back the moment that the
    // first listens again, some milliseconds before it has read its
    // configuration. Told to wait for a second, all of them get late what they
    // could have had at once.
    fleet_options options;
    options.entry_instances = 1;
    fleet running(options);
    running.start();
    running.platform().fault("down");
    running.instance(0).process().kill();
    running.instance(0).start();
    const auto early = http_request_once(running.read_call(0));
    REQUIRE(status_of(early) == 503);
    const auto* wait = io::find_header(early.response.value().headers,
                                       "Waxwing-Retry-After-Ms");
    REQUIRE(wait != nullptr);
    CHECK(std::stoi(*wait) <= 100);
}
