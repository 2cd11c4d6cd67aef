#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "standin/fleet.hpp"
#include "standin/peer_relays.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

std::uint64_t runs_begun(fleet& of) {
    return of.backend(0).runs().at("begun").get<std::uint64_t>() +
           of.backend(1).runs().at("begun").get<std::uint64_t>();
}

} // namespace

TEST_CASE("on the hour every caller is served or told when to come back") {
    // All callers wake on the hour and call within three milliseconds, many
    // times as many as there are slots, and again two more times. Each gets
    // its own answer before its deadline; a lost one would leave a game
    // without its crew.
    fleet running({});
    running.start();
    auto load = running.start_load({"--schedule=burst", "--callers=150",
                                    "--burst-every-ms=500", "--calls=450",
                                    "--write-fraction=0.5", "--attempts=20"});
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") + report.ended("refused") == 450);
    CHECK(report.ended("answered") > 0);
    CHECK(running.history().most_runs_of_a_key() == 1);
}

TEST_CASE("a parted fleet serves on both sides and grows together again") {
    // The network between the entry instances parts while each still reaches
    // callers and backend servers. Both sides go on, no booking runs on both,
    // and after it heals a new configuration is in force everywhere.
    fleet running({});
    const peer_relays network(running);
    running.start();
    auto load = running.start_load(
        {"--calls=600", "--rate=200", "--write-fraction=0.5"});
    REQUIRE(wait_until([&] { return runs_begun(running) >= 100; }));
    network.set("blackhole");
    REQUIRE(wait_until([&] { return runs_begun(running) >= 400; }));
    network.set("pass");
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") == 600);
    CHECK(running.history().most_runs_of_a_key() == 1);
    CHECK(status_of(http_request_once(running.read_call(0))) == 200);
    CHECK(status_of(http_request_once(running.read_call(1))) == 200);
}

TEST_CASE("a booking whose entry instance stands still is never run again") {
    // A phone sends its booking to one entry instance, loses the answer, and
    // sends it again to another while the first stands still and cannot be
    // asked. The second cannot know whether it ran: "unknown" is the only
    // truthful answer, and once the first goes on the answer can be had.
    fleet running({});
    running.start();
    const auto key = running.key_of(0, "1");
    const auto first = http_request_once(running.book_call(0, key));
    CHECK(status_of(first) == 200);
    running.instance(0).process().signal(SIGSTOP);
    const auto other = http_request_once(running.book_call(1, key));
    running.instance(0).process().signal(SIGCONT);
    REQUIRE(other.response.has_value());
    CHECK(status_of(other) != 200);
    CHECK(*io::find_header(other.response.value().headers, "Waxwing-Outcome") ==
          "unknown");
    CHECK(wait_until([&] {
        return body_of(http_request_once(running.book_call(1, key))) ==
               body_of(first);
    }));
    CHECK(running.history().runs_of(key) == 1);
}

TEST_CASE("all entry instances are replaced one by one under load") {
    // An upgrade stops every entry instance in an orderly way and starts it
    // again, while callers are served. What was in flight is finished, callers
    // go to the others meanwhile, and no booking runs twice because the
    // instance that remembered it is a new one now.
    fleet_options options;
    options.entry_instances = 3;
    options.hedges = 0;
    // Slow, so that every stop finds requests in flight.
    options.backend_options = {"--service-ms=30"};
    fleet running(options);
    running.start();
    auto load = running.start_load({"--calls=1200", "--rate=200",
                                    "--write-fraction=0.5", "--attempts=20"});
    REQUIRE(wait_until([&] { return runs_begun(running) >= 100; }));
    for (std::size_t i = 0; i < running.instance_count(); ++i) {
        auto& replaced = running.instance(i);
        CHECK(replaced.stop() == 0);
        replaced.start();
        REQUIRE(wait_until([&] { return running.serves(replaced); }));
    }
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("foreign") == 0);
    CHECK(report.ended("lost") == 0);
    CHECK(report.ended("failed") == 0);
    CHECK(running.history().most_runs_of_a_key() == 1);
    CHECK(running.history().ended("cancelled") == 0);
}

TEST_CASE("a killed entry instance loses no caller and doubles no booking") {
    // An entry instance dies with requests in flight. Its callers go to
    // another one: reads are answered, and bookings that the dead instance
    // remembered are "unknown" rather than run again.
    fleet_options options;
    options.entry_instances = 3;
    fleet running(options);
    running.start();
    auto load = running.start_load(
        {"--calls=800", "--rate=200", "--write-fraction=0.5", "--attempts=20"});
    REQUIRE(wait_until([&] { return runs_begun(running) >= 100; }));
    running.instance(0).process().kill();
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("foreign") == 0);
    CHECK(report.ended("lost") == 0);
    CHECK(report.ended("answered") + report.ended("unknown") == 800);
    CHECK(running.history().most_runs_of_a_key() == 1);
}

TEST_CASE("a backend server dies while the platform is down, on the hour") {
    // Two failures at once, at the worst moment: the platform is down, so
    // nobody is told by it that a backend server has died, and every device
    // wakes. Its callers are served by the other backend server.
    fleet_options options;
    options.backend_servers = 3;
    fleet running(options);
    running.start();
    running.platform().fault("down");
    auto load = running.start_load({"--schedule=burst", "--callers=100",
                                    "--burst-every-ms=1000", "--calls=300",
                                    "--write-fraction=1", "--attempts=20"});
    REQUIRE(wait_until([&] { return runs_begun(running) >= 60; }));
    running.backend(0).process().kill();
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("lost") == 0);
    CHECK(report.ended("foreign") == 0);
    CHECK(report.ended("unknown") <= 4);
    CHECK(running.history().most_runs_of_a_key() == 1);
}
