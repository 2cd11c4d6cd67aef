#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/served_callers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using forwarding::caller_exchange_ptr;
using standin::get;
using standin::served_callers;

TEST_CASE("requests of one connection are answered in order") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/1") + get("/2"));
    REQUIRE(fixture.await_requests(1));
    fixture.run_for(20ms);
    CHECK(fixture.requests.size() == 1);
    fixture.requests[0]->answer({200, {{"X-A", "1"}}, "one"});
    REQUIRE(fixture.await_requests(2));
    CHECK(fixture.requests[1]->request().target == "/2");
    fixture.requests[1]->answer({404, {}, "two"});
    REQUIRE(
        fixture.run_until([&] { return caller->received_contains("two"); }));
    CHECK(caller->received() ==
          "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\none"
          "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\ntwo");
    CHECK(fixture.server.pending() == 0);
}

TEST_CASE("thousands of requests sent ahead and answered at once are served") {
    served_callers fixture;
    std::size_t answered = 0;
    forwarding::caller_server server(fixture.loop, fixture.timers, {});
    REQUIRE(server.start([&](caller_exchange_ptr request) {
        ++answered;
        request->answer({204, {}, ""});
    }));
    auto caller = standin::connect_to(fixture.loop, server.port());
    std::string ahead;
    for (int i = 0; i < 20000; ++i) {
        ahead += get("/");
    }
    caller->send(ahead);
    CHECK(fixture.run_until([&] { return answered == 20000; }));
}

TEST_CASE("a caller that leaves is noticed while its request waits") {
    // A caller gives up and closes its connection while its request waits for
    // a backend server. Unnoticed, the request would still be run, and take a
    // slot from somebody who waits.
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/"));
    REQUIRE(fixture.await_requests(1));
    bool abandoned = false;
    fixture.requests[0]->on_abandoned([&] { abandoned = true; });
    caller->close();
    CHECK(fixture.run_until([&] { return abandoned; }));
    CHECK(fixture.requests[0]->abandoned());
    CHECK(fixture.server.pending() == 0);
    fixture.requests[0]->answer({200, {}, "for nobody"});
    fixture.run_for(10ms);
    CHECK(fixture.server.connections() == 0);
}

TEST_CASE("a caller that sent more than is kept ahead and leaves is noticed") {
    // Guards against work for a caller whose close cannot be read, since bytes
    // that it sent ahead lie before it.
    const bool reset = GENERATE(false, true);
    CAPTURE(reset);
    served_callers fixture;
    auto caller = fixture.caller();
    // More than is kept and a read takes, and no more than a small receive
    // window holds besides: a close behind a full one does not arrive.
    caller->send(get("/") + std::string((256 + 64 + 4) * 1024, 'x'));
    REQUIRE(fixture.await_requests(1));
    fixture.run_for(50ms);
    REQUIRE_FALSE(fixture.requests[0]->abandoned());
    if (reset) {
        caller->reset();
    } else {
        caller->close();
    }
    fixture.run_for(500ms);
    CHECK(fixture.requests[0]->abandoned());
    CHECK(fixture.server.connections() == 0);
}

TEST_CASE("an answer in pieces is complete only when it is ended") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/"));
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->begin_answer({200, {}, ""}, std::nullopt);
    fixture.requests[0]->add("hello");
    REQUIRE(
        fixture.run_until([&] { return caller->received_contains("hello"); }));
    CHECK(caller->received() == "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n5\r\nhello\r\n");
    fixture.requests[0]->end_answer();
    CHECK(fixture.run_until(
        [&] { return caller->received_contains("\r\n0\r\n\r\n"); }));
}

TEST_CASE("an answer that breaks off ends with a reset") {
    // The backend server dies in the middle of a long answer. Were the
    // connection closed in order, a caller that reads to the end of the
    // connection would take the half for the whole.
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("GET / HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->begin_answer({200, {}, ""}, std::nullopt);
    fixture.requests[0]->add("half");
    REQUIRE(
        fixture.run_until([&] { return caller->received_contains("half"); }));
    fixture.requests[0]->break_off(forwarding::request_end::server_cut);
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->ended_by_reset());
}

TEST_CASE("a long body is handed over before all of it has come") {
    served_callers fixture;
    auto caller = fixture.caller();
    const std::size_t size = 3 * 1024 * 1024;
    std::string body(size, 'x');
    body.back() = 'y';
    caller->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(size) + "\r\n\r\n" + body);
    REQUIRE(fixture.await_requests(1));
    auto& request = *fixture.requests[0];
    CHECK(!request.body_complete());
    CHECK(request.body_length() == size);
    fixture.run_for(50ms);
    std::string taken = request.request().body;
    CHECK(taken.size() < size / 2);
    REQUIRE(fixture.run_until([&] {
        taken += request.take_body();
        return request.body_complete();
    }));
    taken += request.take_body();
    CHECK(taken == body);
    request.answer({200, {}, "got it"});
    CHECK(
        fixture.run_until([&] { return caller->received_contains("got it"); }));
}

TEST_CASE("a caller that asked whether to go on is told so") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                 "Expect: 100-continue\r\n\r\n");
    REQUIRE(fixture.run_until(
        [&] { return caller->received_contains("100 Continue"); }));
    caller->send("ok");
    REQUIRE(fixture.await_requests(1));
    CHECK(fixture.requests[0]->request().body == "ok");
}

TEST_CASE("bytes that are no request are refused and the connection ends") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->received_contains("HTTP/1.1 400 "));
    CHECK(caller->received_contains("Connection: close"));
    CHECK(fixture.requests.empty());
}

TEST_CASE("a head that does not come in time is given up") {
    served_callers fixture;
    caller_limits limits;
    limits.head_time = 100ms;
    fixture.server.change_limits(limits);
    auto caller = fixture.caller();
    caller->send("GET / HT");
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->received_contains("HTTP/1.1 408 "));
}

TEST_CASE("limits that change leave a request that is half read as it was") {
    // A caller keeps to the limits in force while it sends; the next
    // configuration allows less. Turned away with 431, 413 or 408, it would
    // not come back, though it did nothing wrong.
    served_callers fixture;
    caller_limits wide;
    fixture.server.change_limits(wide);
    const std::string body(1000, 'b');
    auto caller = fixture.caller();
    caller->send("POST /long-" + std::string(500, 'x') + " HTTP/1.1\r\n");
    auto with_body = fixture.caller();
    with_body->send("POST /body HTTP/1.1\r\nHost: h\r\n");
    fixture.run_for(20ms);
    caller_limits narrow;
    narrow.head = 100;
    narrow.body = 100;
    narrow.head_time = 10ms;
    fixture.server.change_limits(narrow);
    fixture.run_for(400ms);
    caller->send("Host: h\r\nContent-Length: 0\r\n\r\n");
    with_body->send("Content-Length: 1000\r\n\r\n" + body);
    CHECK(fixture.await_requests(2));
    CHECK(caller->received().empty());
    CHECK(with_body->received().empty());
}

TEST_CASE("limits that grow hold for a request that is half read") {
    served_callers fixture;
    caller_limits narrow;
    narrow.head = 100;
    fixture.server.change_limits(narrow);
    auto caller = fixture.caller();
    caller->send("GET /begun");
    fixture.run_for(20ms);
    fixture.server.change_limits({});
    caller->send(std::string(500, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(fixture.await_requests(1));
}

TEST_CASE("narrower limits hold from the next request on") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/1"));
    REQUIRE(fixture.await_requests(1));
    caller_limits narrow;
    narrow.head = 100;
    fixture.server.change_limits(narrow);
    fixture.requests[0]->answer({204, {}, ""});
    caller->send(get("/" + std::string(500, 'x')));
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(caller->received_contains("HTTP/1.1 431 "));
}

TEST_CASE("a connection that stays idle is closed in order") {
    served_callers fixture;
    caller_limits limits;
    limits.idle_time = 100ms;
    fixture.server.change_limits(limits);
    auto caller = fixture.caller();
    REQUIRE(fixture.run_until([&] { return caller->ended(); }));
    CHECK(!caller->ended_by_reset());
    CHECK(caller->received().empty());
}

TEST_CASE("limits told again neither keep nor close an idle connection") {
    // Each configuration tells them. Begun anew with each, the time without a
    // request would never be over.
    served_callers fixture;
    caller_limits limits;
    limits.idle_time = 600ms;
    auto caller = fixture.caller();
    const auto began = fixture.clock.now();
    while (!caller->ended() && fixture.clock.now() - began < 5s) {
        fixture.server.change_limits(limits);
        fixture.run_for(20ms);
    }
    CHECK(caller->ended());
    CHECK(fixture.clock.now() - began >= 600ms);
}

TEST_CASE("a stop cuts no request and closes connections after their answer") {
    // The process is told to stop while one caller waits for its answer and
    // another has an idle connection. Neither may be cut in the middle.
    served_callers fixture;
    auto busy = fixture.caller();
    auto idle = fixture.caller();
    busy->send(get("/"));
    REQUIRE(fixture.await_requests(1));
    REQUIRE(
        fixture.run_until([&] { return fixture.server.connections() == 2; }));
    fixture.server.ask_to_close();
    fixture.server.stop_accepting();
    // Whatever its caller sends just now is still answered.
    fixture.server.close_idle();
    fixture.run_for(20ms);
    CHECK(!idle->ended());
    REQUIRE(fixture.run_until([&] {
        fixture.server.close_idle();
        return idle->ended();
    }));
    CHECK(!idle->ended_by_reset());
    CHECK(!busy->ended());
    fixture.requests[0]->answer({200, {}, "done"});
    REQUIRE(fixture.run_until([&] { return busy->ended(); }));
    CHECK(busy->received() == "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                              "Connection: close\r\n\r\ndone");
    CHECK(!busy->ended_by_reset());
}

TEST_CASE("a caller that does not read its answer holds back the sender") {
    served_callers fixture;
    auto caller = fixture.caller();
    caller->send(get("/"));
    REQUIRE(fixture.await_requests(1));
    caller->pause();
    auto& request = *fixture.requests[0];
    const std::string piece(1024 * 1024, 'z');
    request.begin_answer({200, {}, ""}, 64 * piece.size());
    for (int i = 0; i < 64; ++i) {
        request.add(piece);
    }
    fixture.run_for(20ms);
    CHECK(request.waiting() > 0);
    bool drained = false;
    request.on_drained([&] { drained = true; });
    caller->resume();
    CHECK(fixture.run_until([&] { return drained; }));
    request.end_answer();
}

TEST_CASE("each request that was read leaves one record of its end") {
    using forwarding::request_end;
    served_callers fixture;
    auto answered = fixture.caller();
    answered->send(get("/1"));
    REQUIRE(fixture.await_requests(1));
    fixture.requests[0]->give_name("first");
    fixture.requests[0]->answer({200, {}, "one"});
    REQUIRE(fixture.await_ends(1));
    CHECK(fixture.ended[0].end == request_end::answered);
    CHECK(fixture.ended[0].name == "first");
    CHECK(fixture.ended[0].status == 200);

    auto leaving = fixture.caller();
    leaving->send(get("/2"));
    REQUIRE(fixture.await_requests(2));
    leaving->close();
    REQUIRE(fixture.await_ends(2));
    CHECK(fixture.ended[1].end == request_end::caller_left);

    auto cut = fixture.caller();
    cut->send(get("/3"));
    REQUIRE(fixture.await_requests(3));
    fixture.requests[2]->begin_answer({200, {}, ""}, 10);
    fixture.requests[2]->break_off(request_end::server_cut);
    REQUIRE(fixture.await_ends(3));
    CHECK(fixture.ended[2].end == request_end::server_cut);
    CHECK(party_of(fixture.ended[2].end) ==
          forwarding::ended_by::backend_server);
    fixture.run_for(20ms);
    CHECK(fixture.ended.size() == 3);
}

// Guards against an answer that counts as given though its caller has not
// taken it.
TEST_CASE("an answer that waits to go out has not ended its request") {
    using forwarding::request_end;
    served_callers fixture;
    auto caller = fixture.caller();
    caller->pause();
    caller->send(get("/"));
    REQUIRE(fixture.await_requests(1));
    constexpr std::size_t more_than_the_system_takes = 32 * 1024 * 1024;
    fixture.requests[0]->answer(
        {200, {}, std::string(more_than_the_system_takes, 'x')});
    fixture.run_for(100ms);
    CHECK(fixture.ended.empty());
    const bool takes_it = GENERATE(false, true);
    CAPTURE(takes_it);
    if (takes_it) {
        caller->resume();
    } else {
        caller->reset();
    }
    REQUIRE(fixture.await_ends(1));
    CHECK(fixture.ended[0].end ==
          (takes_it ? request_end::answered : request_end::caller_left));
    CHECK((fixture.ended[0].unsent == 0) == takes_it);
    CHECK(fixture.ended[0].status == 200);
}

TEST_CASE("requests that are open when the server goes are told as stopped") {
    using forwarding::request_end;
    standin::loop_fixture world;
    std::vector<forwarding::ended_request> ended;
    std::size_t taken = 0;
    auto server = std::make_unique<forwarding::caller_server>(
        world.loop, world.timers, forwarding::caller_server_options{});
    server->on_request_ended(
        [&](const forwarding::ended_request& each) { ended.push_back(each); });
    REQUIRE(server->start([&](caller_exchange_ptr) { ++taken; }));
    auto caller = standin::connect_to(world.loop, server->port());
    caller->send(get("/"));
    REQUIRE(world.run_until([&] { return taken == 1; }));
    server.reset();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].end == request_end::stopped);
    CHECK(party_of(ended[0].end) == forwarding::ended_by::instance);
}
