#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

#include "decision/cold_rate.hpp"
#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};

// A service that bears so many requests a second to a cold server.
void bound(scheduler_fixture& f, std::optional<unsigned> cold_requests,
           time_point cold_until = {}) {
    configuration changed = *f.view.config;
    auto& of = changed.services[0];
    of.cold_requests = cold_requests;
    of.backend_servers[0].cold_until = cold_until;
    f.view.config = std::make_shared<const configuration>(changed);
    f.apply_view();
}

probe_ended told(duration cold_for) {
    probe_ended ended;
    ended.backend_server = "a";
    ended.answered = true;
    ended.cold_for = cold_for;
    return ended;
}

// How many requests a server gets in a second that ends each at once.
unsigned sent_in_a_second(scheduler_fixture& f, request_id first) {
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

TEST_CASE("a cold server gets no more in any second than it bears") {
    // Guards against a cold server that crashes because requests to it end
    // quickly, so that its slots alone do not bound them.
    CHECK(rc::check([] {
        const auto most = *rc::gen::inRange(0U, 12U);
        cold_rate rate;
        rate.set_most(most);
        rate.set_cold_until(start + 1h);
        time_point now = start;
        std::deque<time_point> sent;
        for (unsigned step = 0; step < 300; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            if (rate.room(now).value() > 0) {
                rate.started(now);
                sent.push_back(now);
            }
            while (!sent.empty() && now - sent.front() >= 1s) {
                sent.pop_front();
            }
            RC_ASSERT(sent.size() <= most);
        }
    }));
}

TEST_CASE("a cold server has room again when its window has passed") {
    cold_rate rate;
    rate.set_most(2);
    rate.set_cold_until(start + 10s);
    rate.started(start);
    rate.started(start + 100ms);
    CHECK(rate.room(start + 200ms) == 0U);
    const auto again = rate.next_room(start + 200ms);
    REQUIRE(again.has_value());
    CHECK(*again > start + 1s);
    CHECK(rate.room(*again) == 1U);
    CHECK_FALSE(rate.room(start + 10s).has_value());
}

TEST_CASE("word that was told before does not make a warm server cold") {
    // The registry's entry stays as it was written until the next one, while
    // the server itself has told that it is warm.
    cold_rate rate;
    rate.set_listed_until(start + 5s);
    CHECK(rate.is_cold(start));
    rate.set_cold_until(start);
    rate.set_listed_until(start + 5s);
    CHECK_FALSE(rate.is_cold(start));
    rate.set_listed_until(start + 9s);
    CHECK(rate.is_cold(start));
}

TEST_CASE("an owner sends a cold server half of what it bears") {
    // Two instances may take themselves for the owner while owners change, and
    // together must not make it crash.
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    bound(f, 14, start + 1h);
    CHECK(sent_in_a_second(f, 1) == 7);
}

TEST_CASE("a server that says that it turned cold is spared from then on") {
    // Guards against the requests that it gets until the registry tells. What
    // was sent just before counts.
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    bound(f, 14);
    CHECK(sent_in_a_second(f, 1) == 100);
    f.send(told(3s));
    CHECK(sent_in_a_second(f, 1001) <= 7);
    f.send(told(0s));
    CHECK(sent_in_a_second(f, 2001) == 100);
}

TEST_CASE("a view that tells nothing new leaves a server as cold as it is") {
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    bound(f, 14, start + 1h);
    f.send(told(0s));
    f.apply_view();
    CHECK(sent_in_a_second(f, 1) == 100);
}

TEST_CASE("a rate of zero keeps a server without requests until it is warm") {
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    bound(f, 0, start + 2s);
    CHECK(sent_in_a_second(f, 1) == 0);
    f.pass(1s);
    CHECK(sent_in_a_second(f, 1001) == 100);
}

TEST_CASE("without an owner in reach each instance has a share of it") {
    // All instances lost power and know no owner yet, and a whole data centre
    // came back cold: what each may send must be safe together.
    scheduler_fixture f(1, 4, 0);
    f.now = start;
    f.view.owners.owners.clear();
    bound(f, 14, start + 1h);
    CHECK(sent_in_a_second(f, 1) == 3); // a half, divided by two instances
    f.view.introduced = false;
    bound(f, 14, start + 1h);
    f.pass(2s);
    CHECK(sent_in_a_second(f, 1001) == 0);
}

TEST_CASE("the server that is not cold takes what a cold one may not") {
    scheduler_fixture f(2, 4, 2);
    f.now = start;
    bound(f, 2, start + 1h);
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
