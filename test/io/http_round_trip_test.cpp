#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// A server and a client on one loop.
struct round_trip {
    kernel::event_loop loop;
    io::http_server server{loop, {}};
    io::http_client client{loop, {}};

    io::http_call call_to_server() const {
        io::http_call call;
        call.host = "127.0.0.1";
        call.port = server.port();
        return call;
    }

    io::http_call_result finish(io::http_call call) {
        std::optional<io::http_call_result> ended;
        client.send(std::move(call),
                    [&](io::http_call_result r) { ended = std::move(r); });
        while (!ended) {
            loop.run_once(true);
        }
        return std::move(*ended);
    }
};

} // namespace

TEST_CASE("a body and end-to-end headers arrive unaltered, both ways") {
    round_trip fixture;
    REQUIRE(fixture.server.start([](io::http_request request,
                                    io::http_responder respond) {
        io::http_response answer;
        answer.status = 201;
        answer.headers = {{"X-Seen", request.method + " " + request.target}};
        answer.body =
            request.body + "|" + *io::find_header(request.headers, "x-tag");
        respond(std::move(answer));
    }));
    auto call = fixture.call_to_server();
    call.method = "POST";
    call.target = "/a/../b?q=%20";
    call.headers = {{"X-Tag", "t"}};
    call.body = std::string("zero\0byte", 9);
    const auto ended = fixture.finish(call);
    REQUIRE(ended.response.has_value());
    CHECK(ended.response.value().status == 201);
    CHECK(ended.response.value().body == call.body + "|t");
    CHECK(*io::find_header(ended.response.value().headers, "x-seen") ==
          "POST /a/../b?q=%20");
}

TEST_CASE("a request may be answered later") {
    round_trip fixture;
    kernel::monotonic_clock time;
    kernel::timer_service timers(time, fixture.loop);
    kernel::timer_service::subscription later;
    REQUIRE(
        fixture.server.start([&](io::http_request, io::http_responder respond) {
            later = timers.after(5ms, [respond](time_point) {
                respond({200, {}, "late"});
            });
        }));
    const auto ended = fixture.finish(fixture.call_to_server());
    REQUIRE(ended.response.has_value());
    CHECK(ended.response.value().body == "late");
}

TEST_CASE("a refused connection is known not to have carried the request") {
    // A backend server's process has ended and nothing listens any more. The
    // caller is told "not run", which must be true.
    round_trip fixture;
    REQUIRE(fixture.server.start([](io::http_request, io::http_responder) {}));
    auto call = fixture.call_to_server();
    fixture.server.stop_accepting();
    const auto ended = fixture.finish(call);
    REQUIRE_FALSE(ended.response.has_value());
    CHECK_FALSE(ended.sent);
    CHECK(ended.response.error().step == "connect");
}

TEST_CASE("a body over the limit is refused") {
    kernel::event_loop loop;
    io::http_server_options options;
    options.body_limit = 10;
    io::http_server server(loop, options);
    io::http_client client(loop, {});
    REQUIRE(server.start([](io::http_request, io::http_responder respond) {
        respond({200, {}, ""});
    }));
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = server.port();
    call.method = "POST";
    call.body = std::string(11, 'x');
    unsigned status = 0;
    client.send(call, [&](io::http_call_result r) {
        REQUIRE(r.response.has_value());
        status = r.response.value().status;
    });
    while (status == 0) {
        loop.run_once(true);
    }
    CHECK(status == 413);
}

TEST_CASE("a server may be destroyed while a request waits for its answer") {
    // A program ends while a caller is still waiting. Without an answer first
    // the library would abort the process.
    kernel::event_loop loop;
    io::http_client client(loop, {});
    auto server =
        std::make_unique<io::http_server>(loop, io::http_server_options{});
    std::optional<io::http_responder> kept;
    REQUIRE(server->start(
        [&](io::http_request, io::http_responder respond) { kept = respond; }));
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = server->port();
    bool ended = false;
    client.send(call, [&](io::http_call_result) { ended = true; });
    while (!kept) {
        loop.run_once(true);
    }
    server.reset();
    (*kept)({200, {}, "too late"});
    while (!ended) {
        loop.run_once(true);
    }
    CHECK(ended);
}

TEST_CASE("a caller that leaves while its request waits is noticed") {
    // A caller gives up and closes its connection. Were it not noticed, its
    // request would hold a slot of a backend server for nobody.
    round_trip fixture;
    std::optional<io::http_responder> kept;
    REQUIRE(fixture.server.start(
        [&](io::http_request, io::http_responder respond) { kept = respond; }));
    const auto call =
        fixture.client.send(fixture.call_to_server(),
                            [](io::http_call_result) { FAIL("answered"); });
    while (!kept) {
        fixture.loop.run_once(true);
    }
    CHECK_FALSE(kept->abandoned());
    fixture.client.cancel(call);
    while (!kept->abandoned() || fixture.server.pending() > 0) {
        fixture.loop.run_once(true);
    }
    (*kept)({200, {}, "too late"});
    CHECK(kept->abandoned());
}

TEST_CASE("two servers cannot listen on one port") {
    // Two processes are given the same port by mistake. Were both to listen,
    // callers' requests would be divided between them at random.
    kernel::event_loop loop;
    io::http_server first(loop, {});
    const auto answer = [](io::http_request, io::http_responder respond) {
        respond({200, {}, ""});
    };
    REQUIRE(first.start(answer));
    io::http_server_options options;
    options.port = first.port();
    io::http_server second(loop, options);
    CHECK(second.start(answer).error().code == error_code::unavailable);
}
