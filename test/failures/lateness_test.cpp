#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "io/stream_socket.hpp"
#include "standin/fleet.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

// Longer than any lease and than the limit at which a process notices that it
// was stopped. The length is the failure itself, not a wait for something.
constexpr std::chrono::milliseconds long_stop{3000};

std::uint64_t runs_begun(backend_process& on) {
    return on.runs().at("begun").get<std::uint64_t>();
}

// A caller that sends a read and leaves before it is answered.
void send_read_and_leave(std::uint16_t port) {
    const std::string read = "GET /desk/games HTTP/1.1\r\nHost: "
                             "h\r\nWaxwing-Tenant: leagues\r\n\r\n";
    const int caller = io::start_connect("127.0.0.1", port).value();
    REQUIRE(wait_until([&] {
        return ::send(caller, read.data(), read.size(), MSG_NOSIGNAL) ==
               static_cast<long>(read.size());
    }));
    ::close(caller);
}

std::uint64_t leaving_refusals(backend_process& by) {
    return by.runs().at("refused").value("leaving", std::uint64_t{0});
}

} // namespace

TEST_CASE("an entry instance that wakes late runs no booking twice") {
    // An entry instance stands still for seconds, as a machine under a noisy
    // neighbour does, and goes on with the view it had. Meanwhile its callers
    // went elsewhere and a backend server began to leave. A booking run by
    // both instances would be paid twice; one sent to the leaving backend
    // server would be work that it was promised not to get.
    fleet_options options;
    options.entry_instances = 3;
    options.backend_options = {"--service-ms=20"};
    fleet running(options);
    running.start();
    auto load =
        running.start_load({"--calls=900", "--rate=150", "--write-fraction=1",
                            "--attempts=10", "--seed=2"});
    REQUIRE(wait_until([&] { return runs_begun(running.backend(0)) >= 50; }));
    auto& sleeper = running.instance(0);
    sleeper.process().signal(SIGSTOP);
    running.backend(0).fault("drain=1");
    // Nobody else may have talked to it: the platform's list says so as well.
    running.publish_instances({running.backend(0).name()});
    std::this_thread::sleep_for(long_stop);
    const auto refused_before = leaving_refusals(running.backend(0));
    sleeper.process().signal(SIGCONT);
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("foreign") == 0);
    CHECK(report.ended("lost") == 0);
    CHECK(running.history().most_runs_of_a_key() == 1);
    CHECK(leaving_refusals(running.backend(0)) == refused_before);
}

TEST_CASE("silent connections are given up while new ones work") {
    // Something between entry instances and a backend server loses track of
    // all open connections: what is sent on them is never answered, while new
    // connections work. Reads must be answered all the same.
    fleet running({});
    running.start();
    auto load = running.start_load({"--calls=600", "--rate=150"});
    REQUIRE(wait_until([&] { return runs_begun(running.backend(0)) >= 50; }));
    running.backend(0).fault("silent=1");
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") == 600);
}

TEST_CASE("bookings after connections went silent still run once") {
    // As above with bookings. Only those that were in flight when the
    // connections went silent may be "unknown"; a later one goes out on a
    // connection that is known to work.
    fleet running({});
    running.start();
    // Reads leave kept connections behind; none of them works any more.
    auto reads = running.start_load({"--calls=100", "--rate=500"});
    CHECK(finish_load(reads).exit_code == 0);
    running.backend(0).fault("silent=1");
    running.backend(1).fault("silent=1");
    // The first may be in flight when that happens; no other is lost.
    int lost = 0;
    for (int number = 1; number <= 5; ++number) {
        auto call =
            running.book_call(0, running.key_of(0, std::to_string(number)));
        call.headers.push_back({"Waxwing-Deadline-Ms", "300"});
        const auto booked = http_request_once(std::move(call));
        REQUIRE(booked.response.has_value());
        lost += status_of(booked) == 200 ? 0 : 1;
    }
    CHECK(lost <= 1);
    auto load =
        running.start_load({"--calls=600", "--rate=150", "--write-fraction=1"});
    REQUIRE(wait_until([&] { return runs_begun(running.backend(0)) >= 50; }));
    running.backend(0).fault("silent=1");
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.exit_code == 0);
    CHECK(report.ended("answered") + report.ended("unknown") == 600);
    CHECK(report.ended("unknown") <= 2 * 4);
    CHECK(running.history().most_runs_of_a_key() == 1);
}

TEST_CASE("answers that come late and out of order reach their own callers") {
    // A backend server becomes ten times slower without warning, so that its
    // answers come late, some after the caller's request was hedged or given
    // up. A caller that got another's answer would see somebody else's
    // booking.
    fleet_options options;
    options.backend_options = {"--service-ms=20"};
    fleet running(options);
    running.start();
    running.backend(0).fault("straggle=10");
    auto load = running.start_load(
        {"--calls=500", "--rate=100", "--write-fraction=0.3", "--attempts=8"});
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("foreign") == 0);
    CHECK(report.ended("lost") == 0);
    CHECK(report.ended("failed") == 0);
    CHECK(running.history().most_runs_of_a_key() == 1);
}

TEST_CASE(
    "an instance that could not run sends nothing for callers that left") {
    // Guards against an instance that, once it gets processor time again, works
    // through the requests of hundreds of callers that have given up.
    fleet_options options;
    options.entry_instances = 1;
    fleet running(options);
    running.start();
    auto warm = running.start_load({"--calls=100", "--rate=500"});
    CHECK(finish_load(warm).exit_code == 0);
    auto& stopped = running.instance(0);
    const auto all_begun = [&] {
        return runs_begun(running.backend(0)) + runs_begun(running.backend(1));
    };
    const auto begun_before = all_begun();
    stopped.process().signal(SIGSTOP);
    for (int i = 0; i < 200; ++i) {
        send_read_and_leave(stopped.caller_port());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    stopped.process().signal(SIGCONT);
    running.wait_until_serving();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    // wait_until_serving() sends reads of its own, one to each instance.
    CHECK(all_begun() - begun_before <= 5);
}
