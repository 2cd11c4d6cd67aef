#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <string>
#include <thread>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "standin/raw_peer.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// A platform whose topics hold nothing but a revision.
class bare_dialect : public io::platform_dialect {
public:
    std::string list_target(const std::string& topic,
                            const std::string&) const override {
        return "/" + topic;
    }
    mutable duration last_wait{}; // of a watch

    std::string watch_target(const std::string& topic, std::uint64_t,
                             duration wait) const override {
        last_wait = wait;
        return "/" + topic + "/watch";
    }
    result<io::published_page>
    read_list(const std::string&,
              const io::http_response& answer) const override {
        if (answer.status != 200) {
            return error{error_code::unavailable, "read", "", ""};
        }
        return io::published_page{};
    }
    result<io::published_changes>
    read_watch(const std::string&, std::uint64_t,
               const io::http_response&) const override {
        return io::published_changes{};
    }
};

// Reads of two topics, of a platform that refuses at first.
struct refusing_platform {
    kernel::event_loop loop;
    kernel::monotonic_clock time;
    kernel::timer_service timers{time, loop};
    io::http_server server{loop, {}};
    io::http_client client{loop, {}};
    bare_dialect dialect;
    bool answers = false;
    bool answers_watches = false; // at once
    std::map<std::string, unsigned> asked;

    refusing_platform() {
        server
            .start(
                [this](io::http_request request, io::http_responder respond) {
                    ++asked[request.target];
                    const bool watches =
                        request.target.find("watch") != std::string::npos;
                    if (!watches) {
                        respond({answers ? 200U : 503U, {}, ""});
                    } else if (answers_watches) {
                        respond({200U, {}, ""});
                    }
                })
            .value();
    }

    void run_for(duration wait) {
        const auto until = time.now() + wait;
        const auto ticking = timers.every(5ms, [](time_point) {});
        while (time.now() < until) {
            loop.run_once(true);
        }
    }
};

} // namespace

TEST_CASE("a platform that does not answer is asked for one topic only") {
    // The platform refuses everything for some seconds. Each read of each
    // instance is paid for, and asking for the second topic tells nothing that
    // the first has not told.
    refusing_platform platform;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = platform.server.port();
    options.seed = 1;
    io::platform_client client(platform.client, platform.timers,
                               platform.dialect, options);
    client.set_share({1000., 1000., 10ms});
    unsigned readings = 0;
    for (const auto* topic : {"first", "second"}) {
        client.watch(topic, [&](const io::platform_reading&) { ++readings; });
    }
    while (platform.asked["/first"] + platform.asked["/second"] < 8) {
        platform.loop.run_once(true);
    }
    CHECK(std::min(platform.asked["/first"], platform.asked["/second"]) == 1);
    CHECK(readings == 0);
    // Once it answers, both are read.
    platform.answers = true;
    while (readings < 2) {
        platform.loop.run_once(true);
    }
    CHECK(client.answers());
}

TEST_CASE("instances far down the order try a silent platform seldom") {
    // The platform is down for eight seconds, and 128 instances try again on
    // their own. With a backoff of 200 ms each of them makes half a dozen
    // reads; the first few of them are enough to find it back.
    const auto first = membership::read_share_for(6000, 128, 0);
    const auto last = membership::read_share_for(6000, 128, 127);
    CHECK(first.initial_backoff == 200ms);
    CHECK(last.initial_backoff == 5s);
    membership::read_budget budget(last, 1, time_point{});
    budget.failed(time_point{});
    CHECK(budget.wait_before_read(time_point{}) >= 2500ms);
}

TEST_CASE("what was asked before a pause is still taken") {
    // Another instance reads the platform for all, and this one stops reading
    // while the answer that it was sent is on its way. Thrown away, it would
    // be paid for and the configuration in it known half a second later.
    refusing_platform platform;
    platform.answers = true;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = platform.server.port();
    io::platform_client client(platform.client, platform.timers,
                               platform.dialect, options);
    unsigned readings = 0;
    client.watch("first", [&](const io::platform_reading&) { ++readings; });
    while (platform.asked["/first"] == 0) {
        platform.loop.run_once(true);
    }
    client.pause();
    platform.run_for(200ms);
    CHECK(readings == 1);
    CHECK(platform.asked["/first/watch"] == 0);
}

TEST_CASE("a topic that is always refused does not keep another unread") {
    // Guards against a configuration that stays old because a list of something
    // else cannot be had.
    kernel::event_loop loop;
    kernel::monotonic_clock time;
    kernel::timer_service timers{time, loop};
    io::http_server server{loop, {}};
    io::http_client http{loop, {}};
    bool cut = false;
    server
        .start([&](io::http_request request, io::http_responder respond) {
            const bool watch = request.target == "/second/watch";
            if (!watch || !cut) {
                cut = cut || watch;
                respond({request.target == "/second" ? 200U : 503U, {}, ""});
            }
        })
        .value();
    class refusing_watches : public bare_dialect {
        result<io::published_changes>
        read_watch(const std::string&, std::uint64_t,
                   const io::http_response&) const override {
            return error{error_code::unavailable, "read", "", ""};
        }
    } dialect;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = server.port();
    options.seed = 1;
    io::platform_client client(http, timers, dialect, options);
    client.set_share({1000., 1000., 1ms});
    unsigned readings = 0;
    client.watch("first", [](const io::platform_reading&) {});
    client.watch("second", [&](const io::platform_reading&) { ++readings; });
    const auto until = time.now() + 5s;
    const auto ticking = timers.every(5ms, [](time_point) {});
    while (readings < 2 && time.now() < until) {
        loop.run_once(true);
    }
    CHECK(readings == 2);
}

TEST_CASE("after a late wake-up only what has changed is read, and at once") {
    // Guards against a configuration that comes as many stops late as a list of
    // the platform has pages, in a process that is stopped again and again.
    refusing_platform platform;
    platform.answers = true;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = platform.server.port();
    io::platform_client client(platform.client, platform.timers,
                               platform.dialect, options);
    client.set_share({1000., 1000., 10ms});
    unsigned readings = 0;
    client.watch("all", [&](const io::platform_reading&) { ++readings; });
    while (platform.asked["/all/watch"] == 0) {
        platform.loop.run_once(true);
    }
    REQUIRE(readings == 1);
    client.read_again();
    platform.run_for(100ms);
    CHECK(platform.asked["/all"] == 1);
    CHECK(platform.asked["/all/watch"] == 2);
    CHECK(platform.dialect.last_wait < 10ms);
}

TEST_CASE("the answer to a watch that ended during a stop is read") {
    // Guards against a connection that is given up at each late wake-up: a
    // process that is stopped again and again would do nothing but connect.
    refusing_platform platform;
    platform.answers = true;
    platform.answers_watches = true;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = platform.server.port();
    options.watch = 50ms;
    io::platform_client client(platform.client, platform.timers,
                               platform.dialect, options);
    client.set_share({1000., 1000., 10ms});
    unsigned readings = 0;
    client.watch("all", [&](const io::platform_reading&) { ++readings; });
    while (platform.asked["/all/watch"] == 0) {
        platform.loop.run_once(true);
    }
    REQUIRE(readings == 1);
    std::this_thread::sleep_for(100ms);
    client.read_again();
    platform.run_for(100ms);
    CHECK(readings > 1);
    CHECK(platform.asked["/all"] == 1);
    CHECK(client.counters().failed == 0);
}

// Guards against a store that counts as one that answers, or is read, by bytes
// that are no answer.
TEST_CASE("what is no answer of the platform is a read that failed") {
    const std::string bytes =
        GENERATE("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\n X-A: 1\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                 "HTTP/1.1 200 OK\r\n");
    CAPTURE(bytes);
    standin::loop_fixture world;
    standin::raw_listener server(world.loop);
    const auto answering = world.timers.every(2ms, [&](time_point) {
        for (std::size_t each = 0; each < server.count(); ++each) {
            if (server.at(each).received_contains("\r\n\r\n")) {
                server.at(each).take_received();
                server.at(each).send(bytes);
                server.at(each).end_writing();
            }
        }
    });
    io::http_client connections(world.loop, {});
    const bare_dialect dialect;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = server.port();
    io::platform_client client(connections, world.timers, dialect, options);
    client.set_share({1000., 1000., 10ms});
    unsigned readings = 0;
    client.watch("all", [&](const io::platform_reading&) { ++readings; });
    REQUIRE(world.run_until([&] { return client.counters().failed >= 2; }));
    CHECK(readings == 0);
    CHECK_FALSE(client.answers());
}

namespace {

// A list of two items, more of which come as they are asked for.
class two_items : public io::unread_changes {
public:
    bool empty() const override { return left_ == 0; }
    result<io::published_change> next() override {
        --left_;
        return io::published_change{{"k", std::string(100 * 1024, 'v'), 1, ""},
                                    false};
    }

private:
    unsigned left_ = 2;
};

class long_dialect : public bare_dialect {
public:
    result<io::published_page>
    read_list(const std::string&, const io::http_response&) const override {
        io::published_page page;
        page.rest = std::make_shared<two_items>();
        return page;
    }
};

} // namespace

// Guards against a store that counts as one that doesn't answer, since more has
// changed than one answer holds: the list has it in pages.
TEST_CASE("changes that are too many for an answer are read as a list") {
    standin::loop_fixture world;
    unsigned lists = 0;
    unsigned watches = 0;
    io::http_server server(world.loop, {});
    server
        .start([&](const io::http_request& request,
                   const io::http_responder& respond) {
            const bool watch = request.target == "/all/watch";
            ++(watch ? watches : lists);
            respond({200, {}, std::string(watch ? 2000 : 0, 'x')});
        })
        .value();
    io::http_client::limits small;
    small.response_body = 1000;
    io::http_client connections(world.loop, small);
    const bare_dialect dialect;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = server.port();
    io::platform_client client(connections, world.timers, dialect, options);
    client.set_share({1000., 1000., 10ms});
    client.watch("all", [](const io::platform_reading&) {});
    REQUIRE(world.run_until([&] { return lists >= 3; }));
    CHECK(watches >= 2);
    CHECK(client.counters().failed == 0);
    CHECK(client.answers());
}

// Guards against a turn of the loop as long as an answer.
TEST_CASE("the portions of an answer come on turns of their own") {
    refusing_platform platform;
    platform.answers = true;
    const long_dialect dialect;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = platform.server.port();
    io::platform_client client(platform.client, platform.timers, dialect,
                               options);
    client.set_share({1000., 1000., 10ms});
    std::vector<io::platform_reading> given;
    client.watch("all", [&](const io::platform_reading& reading) {
        given.push_back(reading);
    });
    while (given.empty()) {
        platform.loop.run_once(true);
    }
    REQUIRE(given.size() == 1);
    CHECK(given[0].begins);
    CHECK_FALSE(given[0].ends);
    CHECK(platform.asked["/all/watch"] == 0);
    platform.run_for(50ms);
    REQUIRE(given.size() == 2);
    CHECK_FALSE(given[1].begins);
    CHECK(given[1].ends);
    CHECK(given[1].items.size() == 1);
    CHECK(platform.asked["/all/watch"] == 1);
}

// Guards against a reading that counts as known while a part of it still is
// not.
TEST_CASE("a topic that is held is read on from where it was") {
    refusing_platform platform;
    platform.answers = true;
    const long_dialect dialect;
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = platform.server.port();
    io::platform_client client(platform.client, platform.timers, dialect,
                               options);
    client.set_share({1000., 1000., 10ms});
    std::size_t given = 0;
    client.watch("all", [&](const io::platform_reading&) {
        ++given;
        client.hold("all");
    });
    const auto given_after = [&](const std::function<void()>& act) {
        act();
        platform.run_for(50ms);
        return given;
    };
    // Its first portion, whatever else happens meanwhile.
    CHECK(given_after([] {}) == 1);
    CHECK(given_after([&] { client.read_again(); }) == 1);
    CHECK(platform.asked["/all"] == 1);
    CHECK(given_after([&] { client.go_on("all"); }) == 2);
    // It is all given: nothing more is asked until it goes on.
    CHECK(platform.asked["/all/watch"] == 0);
    CHECK(given_after([&] { client.pause(); }) == 2);
    CHECK(given_after([&] { client.resume(); }) == 2);
    CHECK(platform.asked["/all"] + platform.asked["/all/watch"] == 1);
    given_after([&] { client.go_on("all"); });
    CHECK(platform.asked["/all"] + platform.asked["/all/watch"] == 2);
}
