#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// An owner of all servers that has already learned the service time of 20 ms.
// Its requests have a target time of 100 ms unless a test sets another.
scheduler_fixture experienced_owner(unsigned servers, unsigned slots) {
    scheduler_fixture f(servers, slots, servers);
    for (request_id id = 100000; id < 100040; ++id) {
        f.arrive(id);
        f.now += 20ms;
        f.finish(id);
    }
    return f;
}

request_arrived with_target(const scheduler_fixture& f, request_id id,
                            duration target = 100ms, duration left = 1s) {
    request_arrived made = f.request(id, left);
    made.target = f.now + target;
    return made;
}

probe_ended load_report_of(const std::string& server, double slowness) {
    return {server, true, backend_load{0, 0, 4, slowness}};
}

std::size_t started_on(const scheduler_fixture& f, const std::string& server) {
    std::size_t count = 0;
    for (const start_request& started : f.all<start_request>()) {
        count += started.backend_server == server ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a slow server gets no request that it would answer late") {
    // Other software on its machine makes one backend server eight times slower
    // for a short time. If only free slots counted, requests sent there would
    // miss the target time while the other server is idle.
    scheduler_fixture f = experienced_owner(2, 4);
    f.send(load_report_of("a", 8.0));
    f.send(load_report_of("b", 1.0));
    for (request_id id = 1; id <= 4; ++id) {
        f.send(with_target(f, id));
        CHECK(started_on(f, "a") == 0);
        CHECK(started_on(f, "b") == 1);
    }
    // The fast server is full: a request waits rather than certainly be late.
    f.send(with_target(f, 5));
    CHECK(f.all<start_request>().empty());
    CHECK(f.scheduler().queued() == 1);
    f.send(load_report_of("a", 1.0));
    CHECK(started_on(f, "a") == 1);
}

TEST_CASE("a report of slowness counts less the older it is") {
    // A server was slow two seconds ago and has sent no report since. If it
    // were excluded until the next report, it would never be used without
    // probes.
    scheduler_fixture f = experienced_owner(2, 4);
    for (int i = 0; i < 20; ++i) {
        f.send(load_report_of("a", i % 4 == 0 ? 8.0 : 1.0));
        f.now += 50ms;
    }
    f.send(load_report_of("a", 8.0));
    f.send(load_report_of("b", 8.0));
    f.send(with_target(f, 1));
    CHECK(f.all<start_request>().empty());
    f.now += 2s;
    f.send(with_target(f, 2));
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("requests that can only be late wait for those that can be in time") {
    // More requests arrive than can be answered in time. If they were served in
    // order of arrival, all would be late. Therefore requests that are already
    // late wait for those that are not.
    scheduler_fixture f = experienced_owner(1, 1);
    f.send(with_target(f, 1));
    f.send(with_target(f, 2, 5ms));  // already late
    f.send(with_target(f, 3, 90ms)); // can be in time
    f.now += 20ms;
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 3);
    f.now += 20ms;
    f.finish(3);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 2);
}

TEST_CASE(
    "requests beyond capacity are refused at once with a time to come back") {
    // Three times as many requests arrive as the slots can serve. If callers
    // were refused only at their deadlines, they could not use another instance
    // in the meantime.
    scheduler_fixture f = experienced_owner(1, 1);
    std::size_t refused = 0;
    for (request_id id = 1; id <= 60; ++id) {
        f.send(with_target(f, id));
        for (const refuse_request& refusal : f.all<refuse_request>()) {
            CHECK(refusal.reason == refusal_reason::too_late);
            CHECK(refusal.retry_after > 0us);
            ++refused;
        }
        f.now += 5ms;
        if (id % 4 == 0) {
            f.finish(id - 3); // the running request, approximately
        }
    }
    CHECK(refused > 20);
}

TEST_CASE("answers of servers that others fill do not become the baseline") {
    // After a restart of all instances, several of them assign the slots of the
    // same servers for a short time. Each gets answers that take 1.7 times as
    // long although it runs few requests itself. If these became the baseline,
    // full servers would look normal, and all servers would be filled from then
    // on.
    scheduler_fixture f(1, 6, 1);
    const auto run_together = [&](request_id first, unsigned count,
                                  unsigned reported, duration takes) {
        for (request_id id = first; id < first + count; ++id) {
            f.send(f.request(id));
        }
        f.now += takes;
        for (request_id id = first; id < first + count; ++id) {
            request_finished ended;
            ended.request = id;
            ended.verdict = attempt_verdict::answered;
            ended.service_time = takes;
            ended.load = backend_load{reported, 0, 6, 1.0};
            f.send(ended);
        }
    };
    request_id next = 1;
    for (int round = 0; round < 20; ++round, next += 2) {
        run_together(next, 2, 6, 34ms);
    }
    for (int round = 0; round < 30; ++round, next += 2) {
        run_together(next, 2, 2, 20ms);
    }
    // Without other instances, a request that starts beside four others takes
    // as long.
    for (int round = 0; round < 30; ++round, next += 6) {
        for (request_id id = next; id < next + 6; ++id) {
            f.send(f.request(id));
        }
        f.now += 20ms;
        for (request_id id = next; id < next + 4; ++id) {
            f.finish(id);
        }
        f.now += 14ms;
        for (request_id id = next + 4; id < next + 6; ++id) {
            f.finish(id, attempt_verdict::answered, 34ms);
        }
    }
    for (request_id id = next; id < next + 6; ++id) {
        f.send(with_target(f, id));
    }
    CHECK(f.scheduler().slots()[0].in_flight < 6);
}

TEST_CASE("a server that slows down under contention is not filled") {
    // Requests that start as the fifth or sixth take 1.7 times as long, so that
    // the throughput with six requests is lower than with four. If the servers
    // were filled under load, their throughput would be lowest when it is
    // needed most.
    scheduler_fixture f(1, 6, 1);
    request_id next = 1;
    int rounds = 0;
    for (; rounds < 100; ++rounds) {
        const request_id first = next;
        for (int i = 0; i < 6; ++i) {
            f.arrive(next++, 10s);
        }
        if (f.scheduler().in_flight() < 6) {
            break;
        }
        f.now += 20ms;
        for (request_id id = first; id < first + 4; ++id) {
            f.finish(id);
        }
        f.now += 14ms;
        for (request_id id = first + 4; id < first + 6; ++id) {
            f.finish(id, attempt_verdict::answered, 34ms);
        }
    }
    CHECK(rounds < 100);
    CHECK(f.scheduler().in_flight() == 4);
}

TEST_CASE("a large answer waits for a near server, then uses a distant one") {
    // The only near server is busy. Traffic between data centres is expensive,
    // but a caller must not miss the target time to avoid it.
    scheduler_fixture f = experienced_owner(2, 1);
    configuration config = *f.view.config;
    config.services[0].backend_servers[1].data_centre = "pdx";
    f.view.config = std::make_shared<const configuration>(config);
    f.apply_view();
    for (request_id id = 200000; id < 200020; ++id) {
        f.arrive(id);
        f.now += 20ms;
        request_finished large;
        large.request = id;
        large.service_time = 20ms;
        large.answer_bytes = 90000;
        f.send(large);
    }
    f.send(with_target(f, 1, 200ms));
    REQUIRE(started_on(f, "a") == 1);
    f.send(with_target(f, 2, 200ms));
    CHECK(f.all<start_request>().empty());
    for (int i = 0; i < 20 && f.all<start_request>().empty(); ++i) {
        f.pass(10ms);
    }
    CHECK(started_on(f, "b") == 1);
}

TEST_CASE("without a near server a large answer does not wait for one") {
    scheduler_fixture f = experienced_owner(1, 2);
    configuration config = *f.view.config;
    config.services[0].backend_servers[0].data_centre = "pdx";
    f.view.config = std::make_shared<const configuration>(config);
    f.apply_view();
    for (request_id id = 200000; id < 200020; ++id) {
        f.arrive(id);
        request_finished large;
        large.request = id;
        large.service_time = 20ms;
        large.answer_bytes = 90000;
        f.now += 20ms;
        f.send(large);
    }
    f.send(with_target(f, 1));
    CHECK(started_on(f, "a") == 1);
}

TEST_CASE("an instance repeats a fraction of its requests and its part of the "
          "extra ones") {
    // Some answers are lost, and hundreds of instances retry reads. If each had
    // a budget of its own, they would together double the load of a service
    // that is already impaired.
    scheduler_fixture f(1, 4, 1);
    configuration config = *f.view.config;
    config.services[0].budgets.repeats = 0.1;
    config.services[0].budgets.repeat_extra = 8;
    f.view.config = std::make_shared<const configuration>(config);
    f.apply_view();
    const auto repeat_is_sent = [&](request_id id) {
        request_arrived again = f.request(id);
        again.attempt = 2;
        f.send(again);
        const auto refused = f.all<refuse_request>();
        if (refused.empty()) {
            f.finish(id);
            return true;
        }
        CHECK(refused[0].reason == refusal_reason::retry_budget);
        return false;
    };
    unsigned allowed = 0;
    for (request_id id = 1; id <= 100; ++id) {
        f.arrive(id);
        f.finish(id);
        allowed += repeat_is_sent(id) ? 1 : 0;
    }
    // A tenth of 100, and three quarters of the extra eight, divided by two
    // instances.
    CHECK(allowed >= 10);
    CHECK(allowed <= 13);
    f.now += 11s;
    CHECK(repeat_is_sent(1000));
    CHECK(repeat_is_sent(1001));
    CHECK(repeat_is_sent(1002));
    CHECK(!repeat_is_sent(1003));
}

TEST_CASE("an owner without load reports probes all servers often") {
    // All instances have restarted after a power loss, and the new owner knows
    // nothing about the servers. Half of them are slow. If they counted as fast
    // until their answers arrive, they would get requests that are then late.
    scheduler_fixture f = experienced_owner(2, 2);
    f.send(with_target(f, 1));
    f.finish(1);
    f.send(load_report_of("a", 1.0));
    f.send(load_report_of("b", 4.0));
    CHECK(f.scheduler().servers_to_probe(f.now + 20ms).empty());
    CHECK(f.scheduler().servers_to_probe(f.now + 40ms).size() == 2);
}

TEST_CASE("servers without a recent load report are probed") {
    scheduler_fixture f = experienced_owner(2, 2);
    for (int i = 0; i < 50; ++i) {
        f.send(load_report_of("a", 1.0));
        f.send(load_report_of("b", 4.0));
        f.now += 50ms;
    }
    f.now += 1s;
    f.send(with_target(f, 1));
    f.finish(1);
    CHECK(f.scheduler().servers_to_probe(f.now).size() == 2);
    f.send(load_report_of("a", 1.0));
    f.send(load_report_of("b", 4.0));
    CHECK(f.scheduler().servers_to_probe(f.now).empty());
    const auto soon = f.scheduler().servers_to_probe(f.now + 60ms);
    REQUIRE(soon.size() == 1);
    CHECK(soon[0] == "b");
    CHECK(f.scheduler().servers_to_probe(f.now + 200ms).size() == 2);
    // Without requests no probes are needed.
    CHECK(f.scheduler().servers_to_probe(f.now + 30s).empty());
}

TEST_CASE("a server that does not answer probes is excluded until it does") {
    // A machine loses power. Connections to it hang, and a request sent there
    // waits until its deadline.
    scheduler_fixture f = experienced_owner(3, 2);
    f.send(load_report_of("a", 1.0));
    f.send(load_report_of("b", 1.0));
    f.send(load_report_of("c", 1.0));
    f.send(probe_ended{"a", false, std::nullopt});
    for (request_id id = 1; id <= 4; ++id) {
        f.send(with_target(f, id));
        CHECK(started_on(f, "a") == 0);
        CHECK(f.all<start_request>().size() == 1);
    }
    f.send(load_report_of("a", 1.0));
    f.send(with_target(f, 5));
    CHECK(started_on(f, "a") == 1);
}

TEST_CASE("a waiting request soon reconsiders a slot that it rejected") {
    // The only free server is slow and sends no further report. A request that
    // waits for a better slot tolerates more loss over time. If its choice were
    // repeated only after a new report, it would wait until it is late.
    scheduler_fixture f = experienced_owner(1, 2);
    f.send(load_report_of("a", 8.0));
    f.send(with_target(f, 1));
    CHECK(f.all<start_request>().empty());
    std::size_t started = 0;
    for (int i = 0; i < 100 && started == 0; ++i) {
        f.pass(1ms);
        started = f.all<start_request>().size();
    }
    CHECK(started == 1);
}

TEST_CASE("waiting requests go before new ones") {
    // Two servers are slow, and requests wait for them to recover. If a new
    // request took the slot when a server reports its recovery, the slots would
    // never reach the requests that have waited.
    scheduler_fixture f = experienced_owner(2, 1);
    f.send(load_report_of("a", 8.0));
    f.send(load_report_of("b", 8.0));
    f.send(with_target(f, 1));
    f.send(with_target(f, 2, 110ms));
    CHECK(f.scheduler().queued() == 2);
    f.send(with_target(f, 3, 200ms));
    CHECK(f.all<start_request>().empty());
    f.send(load_report_of("a", 1.0));
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 1);
}
