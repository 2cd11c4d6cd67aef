#include <catch2/catch.hpp>

#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "entry/caller_world.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using standin::caller_world;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string not_started =
    "HTTP/1.1 503 Service Unavailable\r\nWaxwing-Not-Started: 1\r\n";

// A booking that runs at a server.
struct running_booking : caller_world {
    std::unique_ptr<standin::raw_connection> from;
    standin::raw_listener* runs_at = nullptr;

    running_booking() : caller_world(4) {
        from = caller();
        from->send(post());
        REQUIRE(run_until([&] { return requests_at_servers() == 1; }));
        runs_at = requests_at(a) == 1 ? &a : &b;
    }
    standin::raw_listener& other() { return runs_at == &a ? b : a; }
};

enum class way_to_leave {
    close,
    reset,
    more // sends the next request, too, and closes
};

void leave_by(way_to_leave how, standin::raw_connection& caller) {
    if (how == way_to_leave::more) {
        caller.send(caller_world::get());
    }
    if (how == way_to_leave::reset) {
        caller.reset();
    } else {
        caller.close();
    }
}

// A port at which connections neither open nor fail.
class stalled_port {
public:
    stalled_port() {
        ::listen(listener_, 0);
        for (int i = 0; i < 4; ++i) {
            waiting_.push_back(
                io::start_connect("127.0.0.1", number()).value());
        }
    }
    stalled_port(const stalled_port&) = delete;
    stalled_port& operator=(const stalled_port&) = delete;
    ~stalled_port() {
        for (const int each : waiting_) {
            ::close(each);
        }
        ::close(listener_);
    }
    std::uint16_t number() const { return io::bound_port(listener_); }

private:
    int listener_ = io::open_listener("127.0.0.1", 0).value();
    std::vector<int> waiting_;
};

} // namespace

TEST_CASE("a booking that was turned away is not sent on for a caller that "
          "left") {
    // Guards against a second backend server running what nobody waits for.
    running_booking f;
    f.from->close();
    f.run_for(20ms);
    f.answer(f.runs_at->at(0), not_started);
    CHECK(f.run_until([&] { return f.desk.open_calls() == 0; }));
    f.run_for(20ms);
    CHECK(f.requests_at(f.other()) == 0);
}

TEST_CASE("a booking under way is not broken off for a caller that left") {
    running_booking f;
    f.from->close();
    f.run_for(50ms);
    CHECK_FALSE(f.runs_at->at(0).ended());
    f.answer(f.runs_at->at(0), ok);
    CHECK(f.run_until([&] { return f.desk.open_calls() == 0; }));
}

TEST_CASE("requests of callers that left before they were read are not sent") {
    // Guards against an instance short of processor time that works through
    // requests which lay unread until their callers had given up.
    const auto leave =
        GENERATE(way_to_leave::close, way_to_leave::reset, way_to_leave::more);
    caller_world f(4);
    f.warm_up(8);
    std::vector<std::unique_ptr<standin::raw_connection>> leavers;
    leavers.reserve(8);
    for (int i = 0; i < 8; ++i) {
        leavers.push_back(f.caller());
    }
    f.run_for(20ms);
    for (int i = 0; i < 8; ++i) {
        leavers[i]->send(i % 2 == 0 ? f.get() : f.post());
        leave_by(leave, *leavers[i]);
    }
    f.run_for(50ms);
    CHECK(f.requests_at_servers() == 0);
    CHECK(f.desk.open_calls() == 0);
}

TEST_CASE("no slot that falls free goes to callers whose close is unread") {
    // Guards against an instance short of processor time that reads answers
    // before the closes that came in ahead of them.
    caller_world f(1);
    f.warm_up(2);
    std::vector<std::unique_ptr<standin::raw_connection>> running;
    std::vector<std::unique_ptr<standin::raw_connection>> leavers;
    for (int i = 0; i < 2; ++i) {
        running.push_back(f.caller());
        running.back()->send(f.get());
    }
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 2; }));
    for (int i = 0; i < 20; ++i) {
        leavers.push_back(f.caller());
        leavers.back()->send(i % 2 == 0 ? f.get() : f.post());
    }
    REQUIRE(f.run_until([&] { return f.desk.open_calls() == 22; }));
    for (auto& leaver : leavers) {
        leaver->close();
    }
    f.answer(*f.busy_connection(f.a), ok);
    f.answer(*f.busy_connection(f.b), ok);
    f.run_for(50ms);
    CHECK(f.requests_at_servers() == 0);
    CHECK(f.desk.open_calls() == 0);
}

TEST_CASE("a booking with a key that waits for a slot ends with its caller") {
    // Guards against a booking that is sent for nobody, and against one that
    // is given up although its caller has come back on another connection.
    const bool comes_back = GENERATE(false, true);
    caller_world f(1);
    f.warm_up(2);
    std::vector<std::unique_ptr<standin::raw_connection>> running;
    for (int i = 0; i < 2; ++i) {
        running.push_back(f.caller());
        running.back()->send(f.get());
    }
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 2; }));
    auto first = f.caller();
    first->send(f.post_with_key("1"));
    REQUIRE(f.run_until([&] { return f.desk.open_calls() == 3; }));
    auto second = f.caller();
    if (comes_back) {
        second->send(f.post_with_key("1"));
        REQUIRE(f.run_until([&] { return f.desk.open_calls() == 4; }));
    }
    first->close();
    f.run_for(20ms);
    f.answer(*f.busy_connection(f.a), ok);
    f.run_for(50ms);
    CHECK(f.requests_at_servers() == (comes_back ? 2 : 1));
    CHECK(f.desk.open_calls() == (comes_back ? 3 : 1));
}

TEST_CASE("a body that its caller will never complete frees its server") {
    // Guards against a server that waits for the rest of a booking's body
    // until the deadline of a caller that left halfway.
    caller_world f(4);
    auto from = f.caller();
    const std::string half(300 * 1024, 'x');
    from->send("POST /desk/x HTTP/1.1\r\nHost: h\r\nWaxwing-Tenant: t\r\n"
               "Content-Length: 600000\r\n\r\n" +
               half);
    REQUIRE(f.run_until([&] { return f.requests_at_servers() == 1; }));
    auto& server = f.requests_at(f.a) == 1 ? f.a : f.b;
    f.run_for(20ms);
    from->close();
    f.run_for(500ms);
    CHECK(f.desk.open_calls() == 0);
    CHECK(server.at(0).ended());
}

TEST_CASE("a booking whose connection is not made yet ends with its caller") {
    // Guards against a booking that is sent when its connection is made at
    // last, or then to the next server, though its caller has left.
    caller_world f(4);
    const stalled_port stalled;
    f.config.services[0].backend_servers.resize(1);
    f.config.services[0].backend_servers[0].port = stalled.number();
    f.publish();
    auto from = f.caller();
    from->send(f.post());
    REQUIRE(f.run_until([&] { return f.pool.open_calls() == 1; }));
    from->close();
    f.run_for(50ms);
    CHECK(f.pool.open_calls() == 0);
    CHECK(f.desk.open_calls() == 0);
}
