#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

#include "forwarding/served_callers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using forwarding::request_end;
using standin::get;
using standin::served_callers;

namespace {

// More than the system takes of an answer to a caller that does not read.
constexpr std::size_t longer_than_is_taken = 32 * 1024 * 1024;

std::size_t count_of(const served_callers& in, request_end end) {
    return static_cast<std::size_t>(
        std::count_if(in.ended.begin(), in.ended.end(),
                      [&](const auto& each) { return each.end == end; }));
}

std::string post_head(std::size_t length) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

// Leaves the process no descriptor for a new connection.
class no_descriptors_left {
public:
    no_descriptors_left() {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(STDIN_FILENO);
        ::close(lowest_free);
        auto none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    no_descriptors_left(const no_descriptors_left&) = delete;
    no_descriptors_left& operator=(const no_descriptors_left&) = delete;
    ~no_descriptors_left() { ::setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

} // namespace

// Guards against requests that a stop leaves without an answer though they were
// read before the answer that asks to close their connection.
TEST_CASE("requests sent ahead before a stop are all answered") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/1") + get("/2"));
    REQUIRE(fixture.await_requests(1));
    fixture.run_for(20ms);
    fixture.server.ask_to_close();
    fixture.requests[0]->answer({200, {}, "one"});
    REQUIRE(fixture.await_requests(2));
    fixture.requests[1]->answer({200, {}, "two"});
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->received() ==
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
          "Connection: close\r\n\r\ntwo");
    CHECK(count_of(fixture, request_end::answered) == 2);
}

// Guards against a request that leaves no line since it was read before the end
// of its connection was announced.
TEST_CASE("a request behind one that ends the connection leaves its record") {
    served_callers fixture;
    auto caller = fixture.caller();
    const bool read_before = GENERATE(true, false);
    CAPTURE(read_before);
    const std::string last =
        "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller->send(read_before ? last + get("/2") : last);
    REQUIRE(fixture.await_requests(1));
    fixture.run_for(20ms);
    fixture.requests[0]->answer({200, {}, "one"});
    if (!read_before) {
        caller->send(get("/2"));
    }
    REQUIRE(fixture.await_ends(2));
    CHECK(count_of(fixture, request_end::answered) == 1);
    CHECK(count_of(fixture, request_end::sent_too_late) == 1);
    CHECK(fixture.requests.size() == 1);
}

// Guards against lines of requests that nobody sent.
TEST_CASE("the rest of a body that nobody reads is no request") {
    served_callers fixture;
    auto caller = fixture.caller();
    constexpr std::size_t half = 400 * 1024;
    caller->send(post_head(2 * half) + std::string(half, 'x'));
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->answer({503, {}, "no"});
    REQUIRE(fixture.run_until([&] { return caller->received_contains("no"); }));
    caller->send(std::string(half, 'x'));
    fixture.run_for(50ms);
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended[0].end == request_end::answered);
}

// Guards against the same for what was refused before it became a request.
TEST_CASE("the rest of a request that was refused leaves no record") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    REQUIRE(
        fixture.run_until([&] { return caller->received_contains("400"); }));
    caller->send("more of it");
    fixture.run_for(50ms);
    CHECK(fixture.ended.empty());
}

// Guards against an answer that is lost without a line, since the connection
// that it waits on is reset for the next request.
TEST_CASE("a reset tells the ends of answers that wait to go out") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->pause();
    const bool by_body = GENERATE(false, true);
    CAPTURE(by_body);
    const std::string second =
        by_body ? "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                  "\r\n\r\n4b000\r\n" +
                      std::string(0x4b000, 'x') + "\r\n"
                : get("/2");
    caller->send(get("/1") + second);
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->answer(
        {200, {}, std::string(longer_than_is_taken, 'x')});
    REQUIRE(fixture.await_requests(2));
    if (by_body) {
        caller->send("no chunk\r\n");
    } else {
        fixture.requests[1]->begin_answer({200, {}, ""}, 10);
        fixture.requests[1]->break_off(request_end::server_cut);
    }
    REQUIRE(fixture.await_ends(2));
    const auto why =
        by_body ? request_end::body_refused : request_end::server_cut;
    CHECK(count_of(fixture, why) == 2);
    CHECK(std::count_if(fixture.ended.begin(), fixture.ended.end(),
                        [](const auto& each) { return each.unsent > 0; }) >= 1);
    CHECK(fixture.server.pending() == 0);
}

// Guards against an answer on a narrow path that is cut when its caller sends
// something more, since its connection was closed before it had gone out.
TEST_CASE("a connection stays until its last answer has come through") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->pause();
    caller->send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(fixture.await_requests(1));
    // What the system takes whole while the caller's side is full.
    constexpr std::size_t size = 1024 * 1024;
    fixture.requests[0]->answer({200, {}, std::string(size, 'x')});
    REQUIRE(count_of(fixture, request_end::answered) == 1);
    for (int part = 0; part < 8; ++part) {
        fixture.run_for(300ms);
        caller->resume();
        fixture.loop.run_once(false);
        caller->pause();
    }
    REQUIRE(caller->received().size() < size);
    caller->send(get("/2"));
    fixture.run_for(100ms);
    caller->resume();
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->received().size() > size);
}

// Guards against work for a caller of which nobody can tell whether it still
// reads: one that ends its side counts as one that has left.
TEST_CASE("a caller that ends its sending side has left") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/"));
    REQUIRE(fixture.await_requests(1));
    caller->end_writing();
    REQUIRE(fixture.await_ends(1));
    CHECK(fixture.ended[0].end == request_end::caller_left);
    CHECK(fixture.run_until([&] { return caller->ended(); }));
    CHECK_FALSE(caller->ended_by_reset());
    CHECK(fixture.server.pending() == 0);
}

// Guards against a connection without an end when the rest of a body under way
// is no body.
TEST_CASE("a body that breaks the protocol under way ends with a reset") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n4b000\r\n" +
                 std::string(0x4b000, 'x') + "\r\n");
    REQUIRE(fixture.await_requests(1));
    REQUIRE_FALSE(fixture.requests[0]->body_complete());
    caller->send("no chunk\r\n");
    REQUIRE(fixture.await_ends(1));
    CHECK(fixture.ended[0].end == request_end::body_refused);
    CHECK(fixture.run_until([&] { return caller->ended_by_reset(); }));
    CHECK(fixture.requests[0]->abandoned());
    CHECK(fixture.server.pending() == 0);
}

// Guards against requests of other callers that end when one too many connects.
TEST_CASE("a connection beyond the limit is closed, the others are served") {
    std::vector<forwarding::ended_request> ended;
    standin::loop_fixture world;
    forwarding::caller_server_options options;
    options.connection_limit = 1;
    forwarding::caller_server server(world.loop, world.timers, options);
    server.on_request_ended(
        [&](const forwarding::ended_request& each) { ended.push_back(each); });
    std::vector<forwarding::caller_exchange_ptr> requests;
    REQUIRE(server.start([&](forwarding::caller_exchange_ptr request) {
        requests.push_back(std::move(request));
    }));
    auto first = standin::connect_to(world.loop, server.port());
    first->send(get("/1"));
    REQUIRE(world.run_until([&] { return requests.size() == 1; }));
    auto second = standin::connect_to(world.loop, server.port());
    REQUIRE(world.run_until([&] { return second->ended(); }));
    CHECK(server.counters().refused_connection_limit == 1);
    requests[0]->answer({200, {}, "one"});
    CHECK(world.run_until([&] { return first->received_contains("one"); }));
    CHECK(ended.size() == 1);
}

// Guards against callers that get no answer any more once descriptors were
// short for a while.
TEST_CASE("a connection that finds no descriptor waits until there is one") {
    served_callers fixture;
    auto waiting = fixture.caller();
    waiting->send(get("/"));
    {
        const no_descriptors_left until_here;
        fixture.run_for(100ms);
        CHECK(fixture.requests.empty());
    }
    CHECK(fixture.await_requests(1));
}

// Guards against a part of an answer that looks whole to a caller of HTTP/1.0,
// for whom an answer of unknown length ends with its connection.
TEST_CASE("an answer that a stop cuts does not look whole") {
    const bool is_said = GENERATE(false, true);
    CAPTURE(is_said);
    standin::loop_fixture world;
    std::vector<forwarding::caller_exchange_ptr> requests;
    auto server = std::make_unique<forwarding::caller_server>(
        world.loop, world.timers, forwarding::caller_server_options{});
    REQUIRE(server->start([&](forwarding::caller_exchange_ptr request) {
        requests.push_back(std::move(request));
    }));
    auto caller = standin::connect_to(world.loop, server->port());
    caller->send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    REQUIRE(world.run_until([&] { return requests.size() == 1; }));
    caller->pause();
    requests[0]->begin_answer({200, {}, ""}, std::nullopt);
    requests[0]->add("a part");
    if (is_said) {
        // Most of it still waits to go out.
        requests[0]->add(std::string(longer_than_is_taken, 'x'));
        requests[0]->end_answer();
    }
    world.run_for(20ms);
    server.reset();
    caller->resume();
    REQUIRE(world.run_until([&] { return caller->ended(); }));
    CHECK(caller->ended_by_reset());
}

// Guards against the same where the caller has ended its sending side, so that
// it counts as one that has left, and reads on.
TEST_CASE("an answer that is given up for its caller does not look whole") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->begin_answer({200, {}, ""}, std::nullopt);
    fixture.requests[0]->add("a part");
    REQUIRE(
        fixture.run_until([&] { return caller->received_contains("part"); }));
    caller->end_writing();
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->ended_by_reset());
    CHECK(fixture.requests[0]->abandoned());
}

// Guards against whole answers that are lost with the reset of such a one.
TEST_CASE("a whole answer that ends with its connection is not reset") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->begin_answer({200, {}, ""}, std::nullopt);
    fixture.requests[0]->add(std::string(longer_than_is_taken, 'x'));
    fixture.requests[0]->end_answer();
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK_FALSE(caller->ended_by_reset());
    CHECK(caller->received().size() > longer_than_is_taken);
}
