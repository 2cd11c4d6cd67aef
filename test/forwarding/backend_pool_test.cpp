#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <waxwingvale/forwarding/backend_pool.hpp>

#include "standin/raw_peer.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using forwarding::backend_call;
using forwarding::backend_result;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";

// A pool, and a backend server whose bytes the test writes by hand.
struct pooled : standin::loop_fixture {
    standin::raw_listener server{loop};
    forwarding::backend_pool pool{loop, timers};
    std::optional<backend_result> ended;

    backend_call call(const std::string& target = "/") {
        backend_call made;
        made.backend_server = "one";
        made.host = "127.0.0.1";
        made.port = server.port();
        made.target = target;
        made.headers = {{"Host", "h"}};
        made.kept_for = 5s;
        return made;
    }
    forwarding::backend_pool::call_id send(backend_call made) {
        ended.reset();
        return pool.send(std::move(made),
                         [this](backend_result r) { ended = std::move(r); });
    }
    bool await_request(std::size_t connection, const std::string& text) {
        return run_until([&] {
            return server.count() > connection &&
                   server.at(connection).received_contains(text);
        });
    }
    bool await_end() {
        return run_until([&] { return ended.has_value(); });
    }
    // One call that is answered, so that its connection is kept.
    void warm_up() {
        send(call("/warm"));
        REQUIRE(await_request(0, "\r\n\r\n"));
        server.at(0).send(ok + "Content-Length: 0\r\n\r\n");
        REQUIRE(await_end());
        server.at(0).take_received();
    }
};

} // namespace

TEST_CASE("a call goes out as it was given and brings the answer back") {
    pooled fixture;
    auto call = fixture.call("/p?q=%20");
    call.method = "POST";
    call.body = std::make_shared<const std::string>("hello");
    fixture.send(call);
    REQUIRE(fixture.await_request(0, "hello"));
    CHECK(
        fixture.server.at(0).received() ==
        "POST /p?q=%20 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
    fixture.server.at(0).send(ok +
                              "X-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n0\r\n\r\n");
    REQUIRE(fixture.await_end());
    CHECK(fixture.ended->sent);
    CHECK(fixture.ended->response.value().body == "abc");
    CHECK(*io::find_header(fixture.ended->response.value().headers, "X-A") ==
          "1");
}

TEST_CASE("a connection is used again, but not after it was idle for long") {
    pooled fixture;
    fixture.warm_up();
    fixture.send(fixture.call("/again"));
    REQUIRE(fixture.await_request(0, "/again"));
    fixture.server.at(0).send(ok + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    fixture.run_for(30ms);
    auto careful = fixture.call("/careful");
    careful.kept_for = 10ms;
    fixture.send(careful);
    REQUIRE(fixture.await_request(1, "/careful"));
    CHECK(fixture.pool.counters().reused == 1);
}

// Guards against a second copy of an answer that names no request, come late:
// it would be taken for the answer to the next request on its connection.
TEST_CASE("a connection is not used after an answer that names no request") {
    pooled fixture;
    auto first = fixture.call("/first");
    first.echo = forwarding::echoed_header{"X-Id", "1"};
    fixture.send(first);
    REQUIRE(fixture.await_request(0, "/first"));
    fixture.server.at(0).send(ok + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    CHECK(fixture.ended->response);
    auto second = fixture.call("/second");
    second.echo = forwarding::echoed_header{"X-Id", "2"};
    fixture.send(second);
    CHECK(fixture.await_request(1, "/second"));
    CHECK(fixture.pool.counters().reused == 0);
}

// Guards against a request that is given the late second copy of an answer to a
// liveness check, which names no request.
TEST_CASE("requests and checks never share a connection") {
    const auto first = GENERATE(forwarding::call_purpose::request,
                                forwarding::call_purpose::check);
    const auto other = first == forwarding::call_purpose::request
                           ? forwarding::call_purpose::check
                           : forwarding::call_purpose::request;
    pooled fixture;
    auto earlier = fixture.call("/earlier");
    earlier.purpose = first;
    fixture.send(earlier);
    REQUIRE(fixture.await_request(0, "/earlier"));
    fixture.server.at(0).send(ok + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    auto later = fixture.call("/later");
    later.purpose = other;
    fixture.send(later);
    REQUIRE(fixture.await_request(1, "/later"));
    fixture.server.at(1).send(ok + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    later.purpose = first;
    later.target = "/again";
    fixture.send(later);
    CHECK(fixture.await_request(0, "/again"));
    CHECK(fixture.pool.counters().connections_opened == 2);
}

TEST_CASE("limits told again cost no kept connection and cut no call") {
    // Each view tells them. New connections to servers are dear, and what runs
    // there would be lost.
    pooled fixture;
    fixture.warm_up();
    const auto tell = [&] {
        for (int i = 0; i < 100; ++i) {
            fixture.pool.limit_connections(1, 1);
        }
    };
    tell();
    fixture.send(fixture.call("/again"));
    REQUIRE(fixture.await_request(0, "/again"));
    tell();
    fixture.server.at(0).send(ok + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    CHECK(fixture.ended->response);
    CHECK(fixture.pool.counters().reused == 1);
    CHECK(fixture.pool.counters().connections_opened == 1);
}

TEST_CASE("a request lost on a kept connection is not sent again") {
    // The backend server closes a kept connection just as a booking goes out
    // on it, or runs the booking and dies. Nobody can tell which, so sending
    // it again could book a referee twice.
    pooled fixture;
    fixture.warm_up();
    fixture.send(fixture.call("/book"));
    REQUIRE(fixture.await_request(0, "/book"));
    fixture.server.at(0).close();
    REQUIRE(fixture.await_end());
    CHECK(!fixture.ended->response);
    CHECK(fixture.ended->sent);
    fixture.run_for(20ms);
    CHECK(fixture.server.count() == 1);
}

// Guards against a booking of unknown outcome, sent on a kept connection whose
// close has come and is not read yet.
TEST_CASE("a kept connection that its server has closed is not used again") {
    pooled fixture;
    fixture.warm_up();
    fixture.server.at(0).close();
    fixture.send(fixture.call("/book"));
    CHECK(fixture.await_request(1, "/book"));
    CHECK(!fixture.ended);
}

// Guards against an answer to nobody's request that is taken for the next one.
TEST_CASE(
    "bytes that came on a kept connection are no answer to the next call") {
    pooled fixture;
    fixture.warm_up();
    fixture.server.at(0).send(ok + "Content-Length: 5\r\n\r\nstray");
    fixture.send(fixture.call("/next"));
    REQUIRE(fixture.await_request(1, "/next"));
    fixture.server.at(1).send(ok + "Content-Length: 4\r\n\r\nours");
    REQUIRE(fixture.await_end());
    CHECK(fixture.ended->response.value().body == "ours");
}

TEST_CASE("a refused connection proves that nothing was sent") {
    pooled fixture;
    auto call = fixture.call();
    std::uint16_t closed = 0;
    {
        standin::raw_listener gone(fixture.loop);
        closed = gone.port();
    }
    call.port = closed;
    fixture.send(call);
    REQUIRE(fixture.await_end());
    CHECK(!fixture.ended->response);
    CHECK(!fixture.ended->sent);
}

TEST_CASE("a second answer that comes late is given to nobody else") {
    // A faulty backend server answers a request twice. The second answer
    // arrives on the kept connection after the next caller's request went out
    // there; that caller would get the order of a stranger.
    pooled fixture;
    auto first = fixture.call("/first");
    first.echo = forwarding::echoed_header{"X-Id", "1"};
    fixture.send(first);
    REQUIRE(fixture.await_request(0, "/first"));
    fixture.server.at(0).send(ok + "X-Id: 1\r\nContent-Length: 3\r\n\r\none");
    REQUIRE(fixture.await_end());
    auto second = fixture.call("/second");
    second.echo = forwarding::echoed_header{"X-Id", "2"};
    fixture.send(second);
    REQUIRE(fixture.await_request(0, "/second"));
    fixture.server.at(0).send(ok + "X-Id: 1\r\nContent-Length: 3\r\n\r\none");
    fixture.server.at(0).send(ok + "X-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");
    REQUIRE(fixture.await_end());
    CHECK(fixture.ended->response.value().body == "two");
    CHECK(fixture.pool.counters().stray_answers == 1);
    fixture.send(fixture.call("/third"));
    CHECK(fixture.await_request(1, "/third"));
}

TEST_CASE("a connection with bytes nobody asked for is not used again") {
    pooled fixture;
    fixture.send(fixture.call("/first"));
    REQUIRE(fixture.await_request(0, "/first"));
    fixture.server.at(0).send(ok + "Content-Length: 0\r\n\r\n" + ok);
    REQUIRE(fixture.await_end());
    fixture.send(fixture.call("/second"));
    REQUIRE(fixture.await_request(1, "/second"));
    fixture.server.at(1).send(ok + "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    fixture.server.at(1).send("noise");
    REQUIRE(fixture.run_until(
        [&] { return fixture.pool.counters().stray_answers == 2; }));
    fixture.send(fixture.call("/third"));
    CHECK(fixture.await_request(2, "/third"));
}

TEST_CASE("an answer that comes before the body was sent ends the connection") {
    // The backend server refuses a long request before it has read it, and
    // reads on later. Were the connection kept, the next caller's request
    // would be read as the rest of this body.
    class endless : public forwarding::body_stream {
    public:
        std::string take() override { return {}; }
        bool complete() const override { return false; }
        void on_more(std::function<void()>) override {}
    };
    pooled fixture;
    auto call = fixture.call("/upload");
    call.method = "POST";
    call.body = std::make_shared<const std::string>("first part");
    call.body_length = 1000;
    call.more_body = std::make_shared<endless>();
    fixture.send(call);
    REQUIRE(fixture.await_request(0, "first part"));
    fixture.server.at(0).send("HTTP/1.1 413 Too Large\r\n"
                              "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.await_end());
    CHECK(fixture.ended->response.value().status == 413);
    fixture.send(fixture.call("/next"));
    CHECK(fixture.await_request(1, "/next"));
}

TEST_CASE("an answer that is reset on the way is not complete") {
    pooled fixture;
    fixture.send(fixture.call());
    REQUIRE(fixture.await_request(0, "\r\n\r\n"));
    fixture.server.at(0).send(ok + "\r\nhalf");
    fixture.run_for(10ms);
    fixture.server.at(0).reset();
    REQUIRE(fixture.await_end());
    CHECK(!fixture.ended->response);
    REQUIRE(fixture.ended->partial);
    CHECK(fixture.ended->partial->status == 200);
}

// Guards against a server that counts as one that answers its liveness checks,
// and against a kept connection whose next answer is read amid such bytes.
TEST_CASE("what is no answer ends a call and its connection") {
    const std::string bytes =
        GENERATE("HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\n X-A: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\nok",
                 "no answer at all\r\n\r\n");
    const auto purpose = GENERATE(forwarding::call_purpose::request,
                                  forwarding::call_purpose::check);
    CAPTURE(bytes, static_cast<int>(purpose));
    pooled fixture;
    std::string told;
    fixture.pool.on_malformed([&](const forwarding::malformed_bytes& seen) {
        told = seen.backend_server;
    });
    auto call = fixture.call("/first");
    call.purpose = purpose;
    fixture.send(call);
    REQUIRE(fixture.await_request(0, "/first"));
    fixture.server.at(0).send(bytes);
    REQUIRE(fixture.await_end());
    REQUIRE_FALSE(fixture.ended->response);
    CHECK(fixture.ended->response.error().code == error_code::malformed);
    CHECK(fixture.ended->sent);
    CHECK_FALSE(fixture.ended->partial);
    CHECK(told == "one");
    call.target = "/next";
    fixture.send(call);
    CHECK(fixture.await_request(1, "/next"));
    CHECK(fixture.run_until([&] { return fixture.server.at(0).ended(); }));
}

// Guards against the same where a part of the answer has come.
TEST_CASE("a part of an answer to a check is none") {
    const bool by_reset = GENERATE(false, true);
    CAPTURE(by_reset);
    pooled fixture;
    auto call = fixture.call("/check");
    call.purpose = forwarding::call_purpose::check;
    fixture.send(call);
    REQUIRE(fixture.await_request(0, "/check"));
    fixture.server.at(0).send(
        ok + (by_reset ? "\r\nok" : "Content-Length: 3\r\n\r\nok"));
    fixture.run_for(10ms);
    if (by_reset) {
        fixture.server.at(0).reset();
    } else {
        fixture.server.at(0).close();
    }
    REQUIRE(fixture.await_end());
    REQUIRE_FALSE(fixture.ended->response);
    CHECK(fixture.ended->response.error().code == error_code::unavailable);
}

TEST_CASE("a cancelled call ends its connection and tells nobody") {
    pooled fixture;
    const auto id = fixture.send(fixture.call());
    REQUIRE(fixture.await_request(0, "\r\n\r\n"));
    fixture.pool.cancel(id);
    REQUIRE(fixture.run_until([&] { return fixture.server.at(0).ended(); }));
    fixture.run_for(10ms);
    CHECK(!fixture.ended);
    CHECK(fixture.pool.open_calls() == 0);
}

TEST_CASE("a long answer comes in pieces") {
    pooled fixture;
    std::string got;
    std::optional<std::uint64_t> told;
    forwarding::long_answer_handlers pieces;
    pieces.on_begin = [&](const io::http_response& head,
                          std::optional<std::uint64_t> length) {
        CHECK(head.status == 200);
        told = length;
        return true;
    };
    pieces.on_bytes = [&](std::string bytes) { got += bytes; };
    fixture.pool.send(
        fixture.call(), [&](backend_result r) { fixture.ended = std::move(r); },
        pieces);
    REQUIRE(fixture.await_request(0, "\r\n\r\n"));
    const std::string body(3 * 1024 * 1024, 'x');
    fixture.server.at(0).send(ok + "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(fixture.await_end());
    CHECK(told == body.size());
    CHECK(got == body);
    CHECK(fixture.ended->response.value().body.empty());
}

TEST_CASE("the limit of connections to a server is kept") {
    pooled fixture;
    fixture.pool.limit_connections(1, 1);
    fixture.pool.send(fixture.call("/a"), [](backend_result) {});
    REQUIRE(fixture.await_request(0, "/a"));
    fixture.send(fixture.call("/b"));
    REQUIRE(fixture.await_end());
    CHECK(!fixture.ended->sent);
    CHECK(fixture.ended->response.error().code ==
          error_code::resource_exhausted);
    CHECK(fixture.server.count() == 1);
}

TEST_CASE("a connection that fails at once was begun") {
    // Guards against a host without a route that is taken for a limit of this
    // process, which says nothing of the way to servers. The system connects
    // to no broadcast address and sends nothing there.
    pooled fixture;
    auto call = fixture.call();
    call.host = "255.255.255.255";
    const auto before = fixture.timers.now();
    fixture.send(call);
    REQUIRE(fixture.await_end());
    CHECK_FALSE(fixture.ended->sent);
    CHECK(fixture.ended->response.error().code == error_code::unavailable);
    CHECK(fixture.ended->connecting_began >= before);
    CHECK(fixture.pool.counters().connections_failed == 1);
}

TEST_CASE("a full table of descriptors is a limit of this process") {
    // Guards against a server that is believed to be gone since this process
    // has no descriptor left for it.
    pooled fixture;
    rlimit before{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    const rlimit none_left{0, before.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none_left) == 0);
    fixture.send(fixture.call());
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    REQUIRE(fixture.await_end());
    CHECK_FALSE(fixture.ended->sent);
    CHECK(fixture.ended->response.error().code ==
          error_code::resource_exhausted);
}
