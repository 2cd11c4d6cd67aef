#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

#include "decision/cold_rate_limiter.hpp"
#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};

// Sets the service's request limit per second for a cold server, and until when
// server "a" is cold.
void set_cold_limit(scheduler_fixture& f, std::optional<unsigned> cold_requests,
                    time_point cold_until = {}) {
    configuration changed = *f.view.config;
    auto& of = changed.services[0];
    of.cold_requests = cold_requests;
    of.backend_servers[0].cold_until = cold_until;
    f.view.config = std::make_shared<const configuration>(changed);
    f.apply_view();
}

probe_ended cold_report(duration cold_for) {
    probe_ended ended;
    ended.backend_server = "a";
    ended.answered = true;
    ended.cold_for = cold_for;
    return ended;
}

// Sends a request every 10 ms for a second to a server that answers at once,
// and returns how many were started.
unsigned started_in_a_second(scheduler_fixture& f, request_id first) {
    unsigned sent = 0;
    for (unsigned tick = 0; tick < 100; ++tick) {
        f.arrive(first + tick, 5ms);
        const bool started = !f.all<start_request>().empty();
        sent += started ? 1 : 0;
        if (started) {
            f.finish(first + tick, attempt_verdict::answered, 1ms);
        }
        f.pass(10ms);
    }
    return sent;
}

} // namespace

TEST_CASE("a cold server receives at most its limit in any second") {
    // Guards against the crash of a cold server: if its requests end quickly,
    // the number of its slots does not limit their rate.
    CHECK(rc::check([] {
        const auto most = *rc::gen::inRange(0U, 12U);
        cold_rate_limiter rate;
        rate.set_limit(most);
        rate.set_cold_until(start + 1h);
        time_point now = start;
        std::deque<time_point> sent;
        for (unsigned step = 0; step < 300; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            if (rate.available(now).value() > 0) {
                rate.record_start(now);
                sent.push_back(now);
            }
            while (!sent.empty() && now - sent.front() >= 1s) {
                sent.pop_front();
            }
            RC_ASSERT(sent.size() <= most);
        }
    }));
}

TEST_CASE("a cold server accepts requests again after the rate window") {
    cold_rate_limiter rate;
    rate.set_limit(2);
    rate.set_cold_until(start + 10s);
    rate.record_start(start);
    rate.record_start(start + 100ms);
    CHECK(rate.available(start + 200ms) == 0U);
    const auto again = rate.next_available(start + 200ms);
    REQUIRE(again.has_value());
    CHECK(*again > start + 1s);
    CHECK(rate.available(*again) == 1U);
    CHECK_FALSE(rate.available(start + 10s).has_value());
}

TEST_CASE("a repeated registry entry does not make a warm server cold") {
    // The registry entry stays unchanged until it is rewritten, although the
    // server itself has reported in the meantime that it is warm.
    cold_rate_limiter rate;
    rate.set_registered_cold_until(start + 5s);
    CHECK(rate.is_cold(start));
    rate.set_cold_until(start);
    rate.set_registered_cold_until(start + 5s);
    CHECK_FALSE(rate.is_cold(start));
    rate.set_registered_cold_until(start + 9s);
    CHECK(rate.is_cold(start));
}

TEST_CASE("an owner sends a cold server half of its request limit") {
    // While ownership changes, two instances may both consider themselves the
    // owner. Together they must not exceed the limit, or the server crashes.
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    set_cold_limit(f, 14, start + 1h);
    CHECK(started_in_a_second(f, 1) == 7);
}

TEST_CASE("a server that reports itself cold is limited from then on") {
    // Guards against a crash by the requests that the server gets until the
    // registry lists it as cold. Requests sent shortly before the report count
    // toward the limit.
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    set_cold_limit(f, 14);
    CHECK(started_in_a_second(f, 1) == 100);
    f.send(cold_report(3s));
    CHECK(started_in_a_second(f, 1001) <= 7);
    f.send(cold_report(0s));
    CHECK(started_in_a_second(f, 2001) == 100);
}

TEST_CASE("an unchanged view does not override a server's own report") {
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    set_cold_limit(f, 14, start + 1h);
    f.send(cold_report(0s));
    f.apply_view();
    CHECK(started_in_a_second(f, 1) == 100);
}

TEST_CASE("a server with a limit of zero gets no requests while cold") {
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    set_cold_limit(f, 0, start + 2s);
    CHECK(started_in_a_second(f, 1) == 0);
    f.pass(1s);
    CHECK(started_in_a_second(f, 1001) == 100);
}

TEST_CASE("without a reachable owner instances divide the cold limit") {
    // All instances have restarted after a power loss and know no owner yet,
    // and the servers of a whole data centre are cold. The requests of all
    // instances together must stay within the limit.
    scheduler_fixture f(1, 4, 0);
    f.now = start;
    f.view.owners.owners.clear();
    set_cold_limit(f, 14, start + 1h);
    CHECK(started_in_a_second(f, 1) ==
          3); // half of the limit, divided by two instances
    f.view.members_known = false;
    set_cold_limit(f, 14, start + 1h);
    f.pass(2s);
    CHECK(started_in_a_second(f, 1001) == 0);
}

TEST_CASE("owners that follow each other quickly keep a cold server's limit") {
    // Guards against the crash of a cold server by owners none of which knows
    // what the one before it sent.
    constexpr unsigned most = 14;
    unsigned sent = 0;
    time_point now = start;
    for (unsigned owner = 0; owner < 4; ++owner) {
        scheduler_fixture f(1, 4, 0);
        f.now = now;
        set_cold_limit(f, most, start + 1h);
        std::swap(f.view.owners.owners[0].backend_servers,
                  f.view.owners.owners[1].backend_servers);
        f.apply_view();
        for (unsigned tick = 0; tick < 25; ++tick) {
            f.arrive(tick + 1, 5ms);
            if (!f.all<start_request>().empty()) {
                ++sent;
                f.finish(tick + 1, attempt_verdict::answered, 1ms);
            }
            f.pass(10ms);
        }
        now = f.now;
    }
    CHECK(sent <= most);
}

TEST_CASE("a new owner uses a cold server once it knows the last second") {
    // Guards against a limit that is kept by sending nothing for long.
    scheduler_fixture f(1, 4, 0);
    f.now = start;
    set_cold_limit(f, 14, start + 1h);
    std::swap(f.view.owners.owners[0].backend_servers,
              f.view.owners.owners[1].backend_servers);
    f.apply_view();
    CHECK(started_in_a_second(f, 1) == 0);
    f.pass(300ms);
    CHECK(started_in_a_second(f, 1001) == 7);
}

TEST_CASE("requests beyond the cold limit go to the warm server") {
    scheduler_fixture f(2, 4, 2);
    f.now = start;
    set_cold_limit(f, 2, start + 1h);
    unsigned to_cold = 0;
    unsigned refused = 0;
    for (request_id id = 1; id <= 50; ++id) {
        f.arrive(id);
        for (const auto& each : f.all<start_request>()) {
            to_cold += each.backend_server == "a" ? 1 : 0;
        }
        refused += f.all<start_request>().empty() ? 1 : 0;
        f.finish(id, attempt_verdict::answered, 1ms);
        f.pass(10ms);
    }
    CHECK(to_cold == 1);
    CHECK(refused == 0);
}
