#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include <waxwingvale/program/service_name.hpp>

#include "entry/entry_service.hpp"
#include "entry/own_protocol.hpp"
#include "io/stream_socket.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

program::settings settings_of_test() {
    program::settings made;
    made.instance.host = "127.0.0.1";
    made.entry.body_limit = 10000;
    made.entry.connection_limit = 10;
    return made;
}

// An entry service that is told views by hand.
struct service_fixture {
    program::settings settings = settings_of_test();
    kernel::event_loop loop;
    kernel::monotonic_clock clock;
    kernel::timer_service timers{clock, loop};
    kernel::service_registry services;
    kernel::message_bus bus;
    io::message_hub hub{loop, timers, {"entry-0/entry", "key"}};
    program::metrics metrics;
    entry::own_protocol protocol;
    std::unique_ptr<entry::entry_service> entry;

    service_fixture() {
        REQUIRE(services.provide(program::service_name::bus, bus));
        REQUIRE(services.provide(program::service_name::peers, hub));
        entry = std::make_unique<entry::entry_service>(
            program::program_environment{settings, loop, timers, services,
                                         metrics},
            member_id{"entry-0", 1}, protocol);
        REQUIRE(entry->start());
    }

    void
    publish(const configuration& config, bool fresh = true,
            configuration_standing standing = configuration_standing::current) {
        auto now = std::make_shared<view>();
        now->fresh = fresh;
        now->standing = standing;
        now->config = std::make_shared<const configuration>(config);
        bus.publish(program::with_owners(now));
    }

    // The status line and what follows.
    std::string post(std::size_t body, const std::string& path = "/") {
        std::string received;
        const auto descriptor = io::start_connect("127.0.0.1", entry->port());
        io::stream_socket socket(loop, descriptor.value(), true,
                                 {{},
                                  [&](const char* bytes, std::size_t size) {
                                      received.append(bytes, size);
                                  },
                                  {},
                                  {}});
        socket.write("POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
                         "Waxwing-Tenant: stranger\r\nContent-Length: " +
                         std::to_string(body) + "\r\n\r\n",
                     std::string(body, 'b'));
        const auto until = clock.now() + 5s;
        const auto beat = timers.every(5ms, [](time_point) {});
        while (received.find("\r\n\r\n") == received.npos &&
               clock.now() < until) {
            loop.run_once(true);
        }
        return received;
    }
};

bool too_large(const std::string& answer) {
    return answer.rfind("HTTP/1.1 413 ", 0) == 0;
}

bool no_such_service(const std::string& answer) {
    return answer.rfind("HTTP/1.1 404 ", 0) == 0;
}

} // namespace

TEST_CASE("without limits in the file the settings decide again") {
    // A configuration narrows what callers may send; the next one names no
    // limits. Kept, the narrow ones would turn callers away for good.
    service_fixture f;
    f.publish({});
    CHECK(no_such_service(f.post(1000)));
    configuration narrow;
    narrow.limits.emplace();
    narrow.limits->body = 100;
    f.publish(narrow);
    CHECK(too_large(f.post(1000)));
    f.publish({});
    CHECK(no_such_service(f.post(1000)));
    CHECK(too_large(f.post(20000)));
}

TEST_CASE("with a stale view no request is refused for good") {
    // Guards against 404 for a route that was added while the process was
    // stopped: its callers would not ask again.
    service_fixture f;
    f.publish({}, false);
    const auto stale = f.post(1000);
    CHECK(stale.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(stale.find("Retry-After") != std::string::npos);
    f.publish({});
    CHECK(no_such_service(f.post(1000)));
}

TEST_CASE("by an unproved configuration no request is refused for good") {
    // Guards against 404 for a route that was added and not heard of yet.
    service_fixture f;
    for (const auto standing : {configuration_standing::superseded,
                                configuration_standing::unconfirmed}) {
        f.publish({}, true, standing);
        const auto unproved = f.post(1000);
        CHECK(unproved.rfind("HTTP/1.1 503 ", 0) == 0);
        CHECK(unproved.find("unproved-configuration") != std::string::npos);
        CHECK(unproved.find("Retry-After") != std::string::npos);
    }
    f.publish({});
    CHECK(no_such_service(f.post(1000)));
}

TEST_CASE(
    "by an unproved configuration no client account is refused for good") {
    // Guards against 403 for a client account that was added and not heard of
    // yet.
    service_fixture f;
    request_class look;
    look.name = "look";
    look.methods = {"POST"};
    look.path_prefix = "/";
    look.deadline = 1s;
    service desk;
    desk.name = "desk";
    desk.classes = {look};
    desk.tenants = {"league"};
    configuration config;
    config.services = {desk};
    f.publish(config, true, configuration_standing::unconfirmed);
    CHECK(f.post(10, "/desk/x").rfind("HTTP/1.1 503 ", 0) == 0);
    f.publish(config);
    CHECK(f.post(10, "/desk/x").rfind("HTTP/1.1 403 ", 0) == 0);
}
