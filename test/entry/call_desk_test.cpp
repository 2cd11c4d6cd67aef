#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "entry/call_desk.hpp"
#include "entry/own_protocol.hpp"
#include "io/stream_socket.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

// A call desk that owns the one backend server of "desk", which takes
// connections and never answers. The caller's side is not looked at.
struct desk_fixture : call_desk_outlet {
    kernel::event_loop loop;
    kernel::monotonic_clock clock;
    kernel::timer_service timers{clock, loop};
    int listener = io::open_listener("127.0.0.1", 0).value();
    forwarding::backend_pool pool{loop, timers};
    io::message_hub hub{loop, timers, {"entry-0/entry", "key"}};
    program::metrics all_metrics;
    entry_metrics metrics{all_metrics};
    own_protocol protocol;
    forwarding::backend_pool peers{loop, timers};
    reach_watch reach{
        protocol, timers, pool, hub, metrics.partitioned, metrics.reach_checks};
    detour_desk detours{"entry-0", timers, peers, "token"};
    call_desk desk{{"entry-0", 1}, protocol, loop,    timers, pool, hub,
                   metrics,        reach,    detours, *this};
    configuration config;
    std::vector<backend_belief> beliefs;
    std::vector<attempt_end> ends; // of attempts

    desk_fixture() {
        request_class look;
        look.name = "look";
        look.methods = {"GET"};
        look.path_prefix = "/";
        look.nature = request_nature::retriable;
        look.deadline = 10s;
        service of;
        of.name = "desk";
        of.classes = {look};
        backend_server server;
        server.name = "a";
        server.host = "127.0.0.1";
        server.port = io::bound_port(listener);
        of.backend_servers = {server};
        config.services = {of};
        publish();
    }
    desk_fixture(const desk_fixture&) = delete;
    desk_fixture& operator=(const desk_fixture&) = delete;
    ~desk_fixture() override { ::close(listener); }

    void publish(bool routes_hold = true) {
        auto now = std::make_shared<view>();
        now->config = std::make_shared<const configuration>(config);
        member self;
        self.id = {"entry-0", 1};
        now->members = {self};
        now->fresh = true;
        now->routes_hold = routes_hold;
        now->beliefs = beliefs;
        desk.take(program::with_owners(now));
    }

    void call() {
        desk.take(std::make_shared<forwarding::caller_exchange>(
            std::weak_ptr<forwarding::caller_connection>(),
            io::http_request{
                "GET", "/desk/x", {{"Waxwing-Tenant", "t"}}, "", "caller"}));
    }

    void run_for(duration time) {
        const auto until = clock.now() + time;
        const auto beat = timers.every(5ms, [](time_point) {});
        while (clock.now() < until) {
            loop.run_once(true);
        }
    }

    // Answers the request that came first.
    void answer() {
        run_for(20ms);
        const int connection = ::accept(listener, nullptr, nullptr);
        const std::string text =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        REQUIRE(::write(connection, text.data(), text.size()) ==
                static_cast<long>(text.size()));
        run_for(20ms);
        ::close(connection);
    }

    // Closes the connection of the request that came first.
    // The server ends a connection, and others of its kind can be reached.
    void break_off() {
        run_for(20ms);
        forwarding::backend_result answered{io::http_response{}, true, {}, {}};
        answered.connecting_began = timers.now();
        reach.judge("another", answered, {});
        ::close(::accept(listener, nullptr, nullptr));
        run_for(20ms);
    }

    void on_sent(const std::string& /*backend_server*/) override {}
    void observe(const std::string& /*backend_server*/,
                 const backend_answer& answer) override {
        ends.push_back(answer.end);
    }
    void send_to_peer(const outgoing_grant_message& /*message*/) override {}
};

} // namespace

TEST_CASE("calls that wait for a service that is taken away are answered") {
    // Without word to its scheduler they would be held until their time is up.
    desk_fixture f;
    f.call();
    f.call();
    f.call();
    REQUIRE(f.desk.open_calls() == 3);
    const auto with = f.config;
    f.config.services.clear();
    f.publish();
    CHECK(f.desk.open_calls() == 1); // the one that runs there
    f.config = with;
    f.publish();
    f.call();
    CHECK(f.desk.open_calls() == 2);
}

TEST_CASE("a request waits for proof of which service is to run it") {
    // Guards against a request that is run by the service to which its route
    // led before the process was stopped.
    desk_fixture f;
    f.publish(false);
    f.call();
    f.run_for(20ms);
    CHECK(f.desk.open_calls() == 0);
    f.publish(true);
    CHECK(f.desk.open_calls() == 1);
}

TEST_CASE("a request that waits in vain for proof of its route is not run") {
    // Guards against the same where proof does not come, and against callers
    // that are held until their time is over.
    desk_fixture f;
    f.publish(false);
    f.call();
    f.run_for(200ms);
    f.publish(true);
    CHECK(f.desk.open_calls() == 0);
}

TEST_CASE("a call keeps the time that it was given when it came") {
    // The operator shortens a time, or lengthens it, while calls are open.
    desk_fixture f;
    f.config.services[0].classes[0].deadline = 200ms;
    f.publish();
    f.call();
    f.config.services[0].classes[0].deadline = 10s;
    f.publish();
    f.call();
    f.config.services[0].classes[0].deadline = 20ms;
    f.publish();
    for (int i = 0; i < 8; ++i) {
        f.run_for(50ms);
        f.publish();
    }
    CHECK(f.desk.open_calls() == 1);
}

TEST_CASE("what is believed of a server reaches its own service") {
    desk_fixture f;
    backend_belief leaving;
    leaving.state = backend_state::leaving;
    leaving.backend_server = "z"; // of no service
    f.beliefs = {leaving};
    f.publish();
    f.call();
    CHECK(f.desk.open_calls() == 1);
    leaving.backend_server = "a";
    f.beliefs.push_back(leaving);
    f.publish();
    f.call(); // refused
    CHECK(f.desk.open_calls() == 1);
}

TEST_CASE("an attempt outlives the configuration that it was sent by") {
    // The answer of a server, or a service, that was taken away meanwhile is
    // the caller's all the same.
    for (const bool whole_service : {false, true}) {
        desk_fixture f;
        f.call();
        if (whole_service) {
            f.config.services.clear();
        } else {
            f.config.services[0].backend_servers.clear();
        }
        f.publish();
        CHECK(f.desk.open_calls() == 1);
        f.answer();
        CHECK(f.desk.open_calls() == 0);
        CHECK(f.ends == std::vector<attempt_end>{attempt_end::answered});
    }
}

TEST_CASE("a suspect whose trial is refused is tried again") {
    // Guards against a request that is refused for ten minutes, since the trial
    // that was to clear it never ran and never ended.
    desk_fixture f;
    f.call();
    f.break_off(); // its retry is a trial that no other server can run
    REQUIRE(f.desk.open_calls() == 0);
    auto& servers = f.config.services[0].backend_servers;
    servers.push_back(servers[0]);
    servers.back().name = "b";
    f.publish();
    f.call();
    CHECK(f.desk.open_calls() == 1);
}
