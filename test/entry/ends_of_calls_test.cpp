#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "entry/caller_world.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using forwarding::request_end;
using standin::caller_world;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";

// Notes how each request of its callers ended.
struct noted_ends : caller_world {
    std::vector<forwarding::ended_request> ended;
    std::vector<std::unique_ptr<standin::raw_connection>> from;

    explicit noted_ends(unsigned slots) : caller_world(slots) {
        callers.on_request_ended([this](const forwarding::ended_request& each) {
            ended.push_back(each);
        });
    }
    void send(const std::string& request) {
        from.push_back(caller());
        from.back()->send(request);
        const auto sent = from.size();
        REQUIRE(run_until([&] { return desk.open_calls() == sent; }));
    }
    void shorten_deadlines(duration to) {
        for (auto& each : config.services[0].classes) {
            each.deadline = to;
        }
        publish();
    }
    standin::raw_connection& busy_server() {
        auto* at_a = busy_connection(a);
        return at_a != nullptr ? *at_a : *busy_connection(b);
    }
    bool all_answered() {
        return run_until([&] {
            return std::all_of(from.begin(), from.end(), [](const auto& each) {
                return each->received_contains("HTTP/1.1 ");
            });
        });
    }
    std::size_t count_of(const std::string& status) const {
        return static_cast<std::size_t>(
            std::count_if(from.begin(), from.end(), [&](const auto& each) {
                return each->received_contains("HTTP/1.1 " + status);
            }));
    }
    void check_nothing_open() {
        CHECK(desk.open_calls() == 0);
        CHECK(callers.pending() == 0);
        CHECK(ended.size() == from.size());
    }
};

std::string long_post(std::size_t length, std::size_t sent) {
    return "POST /desk/x HTTP/1.1\r\nHost: h\r\nWaxwing-Tenant: t\r\n"
           "Content-Length: " +
           std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

constexpr std::size_t longer_than_is_waited_for = 2 * 1024 * 1024;

} // namespace

// Guards against copies of a booking that wait for ever when the one that runs
// ends without an answer.
TEST_CASE("copies of a request with a key end with the one that runs") {
    enum class way { answered, lost, turned_away, out_of_time };
    const auto end =
        GENERATE(way::answered, way::lost, way::turned_away, way::out_of_time);
    CAPTURE(static_cast<int>(end));
    noted_ends f(1);
    for (auto& each : f.config.services[0].classes) {
        each.max_attempts = 1;
    }
    f.shorten_deadlines(end == way::out_of_time ? 300ms : 10s);
    f.send(caller_world::post_with_key("1"));
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    f.send(caller_world::post_with_key("1"));
    f.send(caller_world::post_with_key("1"));
    if (end == way::answered) {
        f.answer(f.busy_server(), ok);
    } else if (end == way::lost) {
        f.busy_server().reset();
    } else if (end == way::turned_away) {
        f.answer(f.busy_server(), "HTTP/1.1 503 Service Unavailable\r\n"
                                  "Waxwing-Not-Started: 1\r\n");
    }
    CHECK(f.all_answered());
    CHECK(f.count_of("200") == (end == way::answered ? 3 : 0));
    CHECK(f.count_of("503") == (end == way::turned_away ? 3 : 0));
    f.check_nothing_open();
}

// Guards against a stop that waits in vain for requests that nobody answers.
TEST_CASE("the end of a stop answers whatever its requests wait for") {
    noted_ends f(1);
    f.send(caller_world::get());
    f.send(caller_world::post_with_key("1"));
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 2; }));
    f.send(caller_world::get());              // waits for a slot
    f.send(caller_world::post_with_key("1")); // waits for its key
    f.send(long_post(600 * 1024, 300 * 1024));
    f.callers.ask_to_close();
    f.desk.end_by(f.clock.now() + 100ms);
    CHECK(f.all_answered());
    INFO("requests sent to servers: " << f.requests_at_servers());
    CHECK(f.count_of("504") == 3); // two at work, and one copy
    CHECK(f.count_of("503") == 2);
    f.check_nothing_open();
    CHECK(f.run_until([&] {
        return std::all_of(f.from.begin(), f.from.end(),
                           [](const auto& each) { return each->ended(); });
    }));
}

// Guards against a stop that waits for a long answer beyond its time, and
// against a half answer that looks whole.
TEST_CASE("the end of a stop breaks off answers that go out") {
    noted_ends f(1);
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    f.busy_server().send("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" +
                         std::string(longer_than_is_waited_for, 'x'));
    REQUIRE(f.all_answered());
    f.desk.end_by(f.clock.now() + 100ms);
    CHECK(f.run_until([&] { return f.from[0]->ended_by_reset(); }));
    f.check_nothing_open();
    REQUIRE(f.ended.size() == 1);
    CHECK(f.ended[0].end == request_end::stopped);
}

// Guards against a caller that hangs when its server ends amid a long answer.
TEST_CASE("an answer that its server breaks off ends its connection") {
    noted_ends f(1);
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    auto& server = f.busy_server();
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" +
                std::string(longer_than_is_waited_for, 'x'));
    REQUIRE(f.all_answered());
    server.close();
    CHECK(f.run_until([&] { return f.from[0]->ended_by_reset(); }));
    f.check_nothing_open();
    REQUIRE(f.ended.size() == 1);
    CHECK(f.ended[0].end == request_end::server_cut);
}

// Guards against a slot that is held, and a connection that stays open, for a
// body whose rest never comes.
TEST_CASE("a request whose body stops coming is answered when its time ends") {
    noted_ends f(1);
    f.shorten_deadlines(300ms);
    f.send(long_post(600 * 1024, 300 * 1024));
    CHECK(f.all_answered());
    CHECK(f.count_of("504") == 1);
    f.check_nothing_open();
    CHECK(f.run_until([&] { return f.from[0]->ended(); }));
}

// Guards against requests that a configuration leaves without an answer.
TEST_CASE("requests whose service is taken away are all answered") {
    noted_ends f(1);
    f.send(caller_world::post_with_key("1"));
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 2; }));
    f.send(caller_world::get());              // waits for a slot
    f.send(caller_world::post_with_key("1")); // waits for its key
    f.config.services.clear();
    f.publish();
    CHECK(f.run_until([&] { return f.count_of("503") == 1; }));
    for (auto* each : {&f.a, &f.b}) {
        f.answer(*f.busy_connection(*each), ok);
    }
    CHECK(f.all_answered());
    CHECK(f.count_of("200") == 3);
    f.check_nothing_open();
}

// Guards against a server that works for a caller of which nobody can tell
// whether it still reads.
TEST_CASE("a caller that ends its sending side gets no answer") {
    noted_ends f(1);
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    f.from[0]->end_writing();
    CHECK(f.run_until([&] { return f.from[0]->ended(); }));
    CHECK_FALSE(f.from[0]->ended_by_reset());
    f.check_nothing_open();
    REQUIRE(f.ended.size() == 1);
    CHECK(f.ended[0].end == request_end::caller_left);
}

// Guards against a request that gets a slot when its time is over, since others
// end at the same moment: it was sent in vain, and its outcome unknown.
TEST_CASE("a slot that falls free when a call's time is over is not used") {
    constexpr std::size_t waiting = 20;
    noted_ends f(1);
    for (std::size_t i = 0; i < 2 + waiting; ++i) {
        f.send(caller_world::get());
    }
    REQUIRE(f.run_until([&] { return f.desk.open_calls() == 2 + waiting; }));
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 2; }));
    f.desk.end_by(f.clock.now() + 100ms);
    CHECK(f.all_answered());
    CHECK(f.count_of("504") == 2);
    CHECK(f.count_of("503") == waiting);
}

// Guards against a request that is broken off at a server at work, since its
// instance takes itself for partitioned, and is answered on its own account.
TEST_CASE("a request at a server at work stays there in a partition") {
    noted_ends f(1);
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    f.desk.follow_reach(true);
    f.run_for(50ms);
    f.busy_server().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(f.all_answered());
    CHECK(f.count_of("200") == 1);
}

// Guards against requests that are held for a check beyond their time.
TEST_CASE("requests that wait for a check are answered when their time ends") {
    noted_ends f(1);
    f.shorten_deadlines(100ms);
    auto known = std::make_shared<view>();
    known->config = std::make_shared<const configuration>(f.config);
    f.reach.follow(known); // its servers are asked, and do not answer
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    f.busy_server().reset();
    REQUIRE(f.run_until([&] { return f.reach.holds(); }));
    f.send(caller_world::get());
    CHECK(f.all_answered());
    CHECK(f.count_of("504") == 1); // what its attempt means is open
    CHECK(f.count_of("503") == 1);
    f.check_nothing_open();
}

// Guards against the same in a stop, which has no time to see a request through
// elsewhere, however long its server takes.
TEST_CASE("a stop takes no request back from a server at work") {
    noted_ends f(1);
    f.send(caller_world::get());
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    f.run_for(1s); // so long that its connection counts as silent
    f.desk.end_by(f.clock.now() + 10s);
    f.desk.follow_reach(true);
    f.run_for(50ms);
    f.busy_server().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(f.all_answered());
    CHECK(f.count_of("200") == 1);
}
