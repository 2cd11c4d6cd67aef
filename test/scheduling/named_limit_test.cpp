#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

#include "decision/named_limit.hpp"
#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};
constexpr duration window = 4s;

backend_terms limited_to(double requests_per_second) {
    backend_terms terms;
    terms.requests_per_second = requests_per_second;
    return terms;
}

// Half more than the limit allows in a window, and five.
std::size_t allowed(double requests_per_second) {
    const double seconds = std::chrono::duration<double>(window).count();
    return static_cast<std::size_t>(1.5 * requests_per_second * seconds) + 5;
}

// Counts what server "a" gets in any window.
class arrivals_at_server {
public:
    void add(time_point now) {
        recent_.push_back(now);
        while (now - recent_.front() >= window) {
            recent_.pop_front();
        }
        most_ = std::max(most_, recent_.size());
    }
    std::size_t most() const { return most_; }

private:
    std::deque<time_point> recent_;
    std::size_t most_ = 0;
};

// An owner whose servers answer within 5 ms with the terms set for "a".
struct limited_fixture : scheduler_fixture {
    explicit limited_fixture(unsigned servers, unsigned own_servers)
        : scheduler_fixture(servers, 4, own_servers) {
        now = start;
    }

    // A request every 10 ms for that time; returns how many went to "a".
    unsigned requests_to_a(duration time) {
        unsigned count = 0;
        for (duration passed{}; passed < time; passed += 10ms) {
            arrive(++last_, 20ms);
            const auto started = all<start_request>();
            pass(5ms);
            for (const auto& each : started) {
                const bool is_a = each.backend_server == "a";
                count += is_a ? 1 : 0;
                answer(each.request, is_a ? terms : backend_terms());
            }
            pass(5ms);
        }
        return count;
    }

    void answer(request_id request, std::optional<backend_terms> stated,
                attempt_verdict verdict = attempt_verdict::answered) {
        request_finished ended;
        ended.request = request;
        ended.verdict = verdict;
        ended.service_time = 5ms;
        ended.terms = stated;
        send(ended);
    }

    std::optional<backend_terms> terms = backend_terms();

private:
    request_id last_ = 0;
};

} // namespace

TEST_CASE("an instance keeps to its part of a named limit, in any second") {
    // Guards against a server in need that gets more than it takes.
    CHECK(rc::check([] {
        const double limit = *rc::gen::inRange(1, 400) / 10.;
        const double share = *rc::gen::inRange(1, 101) / 100.;
        const double credit = *rc::gen::inRange(0, 100) / 100.;
        named_limit tested;
        tested.set_first_credit(credit);
        tested.set_share(share, start);
        tested.record_answer(limited_to(limit), start, start);
        time_point now = start;
        double sent = 0;
        for (int step = 0; step < 500; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            while (tested.available(now).value() > 0) {
                tested.record_start(now);
                ++sent;
            }
            const double seconds =
                std::chrono::duration<double>(now - start).count();
            RC_ASSERT(sent <= limit * share * seconds + credit + 1e-6);
        }
    }));
}

TEST_CASE("a request may be sent at the time that the limit tells") {
    named_limit tested;
    tested.set_share(1, start);
    CHECK_FALSE(tested.available(start));
    tested.record_answer(limited_to(2), start, start);
    CHECK(tested.available(start) == 0U);
    const auto next = tested.next_available(start);
    REQUIRE(next);
    CHECK(*next - start <= 501ms);
    CHECK(tested.available(*next) == 1U);
}

TEST_CASE("instances of which none reaches the owner keep to one limit") {
    // Guards against each of them using the limit for itself, and against all
    // of them sending at once, when they lose the owner at the same moment.
    constexpr std::size_t instances = 18;
    std::vector<service_scheduler> all;
    view_changed view = scheduler_fixture(1, 2, 0).view;
    view.members.clear();
    for (std::size_t i = 0; i < instances; ++i) {
        member instance;
        instance.id = {"node-" + std::to_string(i), 1};
        view.members.push_back(instance);
        all.emplace_back("slate-view", instance.id, scheduling_policy(),
                         time_point(-1h));
    }
    arrivals_at_server server;
    time_point now = start;
    std::vector<scheduler_action> actions;
    const auto send = [&](service_scheduler& to, const scheduler_event& event) {
        actions.clear();
        to.handle(event, now, actions);
    };
    for (auto& each : all) {
        send(each, view);
        send(each, peer_reachability{"entry-1", true});
        answer_begun told{1, limited_to(2)};
        request_arrived first = scheduler_fixture(1, 2, 0).request(1);
        first.deadline = now + 1s;
        send(each, first);
        send(each, grant_received{"entry-1", 1, 1, "a", 1s, 0ms});
        send(each, told);
        request_finished ended;
        ended.request = 1;
        ended.service_time = 5ms;
        send(each, ended);
    }
    now += 10s;
    for (auto& each : all) {
        send(each, peer_reachability{"entry-1", false});
    }
    request_id request = 1;
    for (const time_point until = now + 60s; now < until; now += 10ms) {
        ++request;
        for (auto& each : all) {
            request_arrived arrived = scheduler_fixture(1, 2, 0).request(1);
            arrived.request = request;
            arrived.deadline = now + 5ms;
            send(each, arrived);
            for (const auto& action : actions) {
                if (std::holds_alternative<start_request>(action)) {
                    server.add(now);
                    request_finished ended;
                    ended.request = request;
                    ended.service_time = 5ms;
                    ended.terms = limited_to(2);
                    send(each, ended);
                    break;
                }
            }
        }
    }
    CHECK(server.most() <= allowed(2) / 2);
    CHECK(server.most() > 0);
}

TEST_CASE("an owner sends a server no more than the limit that it names") {
    limited_fixture f(2, 2);
    CHECK(f.requests_to_a(1s) > 20);
    f.terms = limited_to(4);
    static_cast<void>(f.requests_to_a(1s));
    const unsigned sent = f.requests_to_a(window);
    CHECK(sent <= 16);
    CHECK(sent >= 8);
}

TEST_CASE("a limit that is no longer named ends at once") {
    limited_fixture f(2, 2);
    f.terms = limited_to(4);
    static_cast<void>(f.requests_to_a(3s));
    f.terms.emplace();
    static_cast<void>(f.requests_to_a(500ms));
    CHECK(f.requests_to_a(1s) > 20);
}

TEST_CASE("a server that names a limit of zero is still asked now and then") {
    // Guards against a server that is lost for good: without a request it
    // can't say that the limit has ended.
    limited_fixture f(2, 2);
    f.terms = limited_to(0);
    static_cast<void>(f.requests_to_a(3s));
    const unsigned sent = f.requests_to_a(60s);
    CHECK(sent >= 1);
    CHECK(sent <= 6);
    f.terms.emplace();
    static_cast<void>(f.requests_to_a(20s));
    CHECK(f.requests_to_a(1s) > 20);
}

TEST_CASE("an answer sent before a limit was named does not end it") {
    // A long answer was written before the server was in need, and ends after
    // a short one has named the limit.
    scheduler_fixture f(1, 4, 1);
    f.now = start;
    f.arrive(1);
    f.arrive(2);
    f.now += 50ms;
    request_finished ended;
    ended.request = 2;
    ended.terms = limited_to(1);
    f.send(ended);
    f.now += 50ms;
    ended.request = 1;
    ended.terms.emplace();
    f.send(ended);
    f.arrive(3);
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("a lost answer neither names nor ends a limit") {
    limited_fixture f(1, 1);
    f.terms = limited_to(4);
    static_cast<void>(f.requests_to_a(1s));
    f.terms.reset();
    static_cast<void>(f.requests_to_a(2s));
    CHECK(f.requests_to_a(window) <= 16);
}

TEST_CASE("an answer of any end names a limit") {
    for (const auto verdict :
         {attempt_verdict::failed, attempt_verdict::shed, attempt_verdict::died,
          attempt_verdict::timed_out}) {
        limited_fixture f(1, 1);
        f.arrive(1, 500ms);
        f.pass(5ms);
        f.answer(1, limited_to(0.2), verdict);
        f.pass(1s);
        f.arrive(2, 500ms);
        CHECK(f.all<start_request>().empty());
    }
}

TEST_CASE("the head of a long answer names a limit before the answer ends") {
    limited_fixture f(1, 1);
    f.arrive(1, 10s);
    f.pass(5ms);
    f.send(answer_begun{1, limited_to(0.2)});
    f.arrive(2, 500ms);
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("a probe names a limit, and ends one that a probe has named") {
    limited_fixture f(1, 1);
    probe_ended probe;
    probe.backend_server = "a";
    probe.answered = true;
    probe.terms = limited_to(0.2);
    f.send(probe);
    f.arrive(1, 500ms);
    CHECK(f.all<start_request>().empty());
    f.pass(1s);
    probe.terms.emplace();
    f.send(probe);
    f.arrive(2, 500ms);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a probe without a limit does not end one named by requests only") {
    // Guards against servers whose health answers never name it.
    limited_fixture f(1, 1);
    f.arrive(1, 500ms);
    f.pass(5ms);
    f.answer(1, limited_to(0.2));
    f.pass(1s);
    probe_ended probe;
    probe.backend_server = "a";
    probe.answered = true;
    probe.terms.emplace();
    f.send(probe);
    f.arrive(2, 500ms);
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("a probe counts towards the limit of the server") {
    limited_fixture f(1, 1);
    CHECK(f.scheduler().may_probe("a", f.now));
    f.arrive(1, 500ms);
    f.pass(5ms);
    f.answer(1, limited_to(1));
    CHECK_FALSE(f.scheduler().may_probe("a", f.now));
    f.pass(3s);
    CHECK(f.scheduler().may_probe("a", f.now));
    f.send(probe_started{"a"});
    f.arrive(2, 500ms);
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("slots that are lent count towards the limit") {
    // Guards against an owner that keeps to the limit itself and lends the
    // server's slots to others all the same; and the terms that a borrower was
    // told are the owner's, too.
    limited_fixture f(1, 1);
    f.link_peer();
    arrivals_at_server server;
    request_id request = 100;
    for (time_point until = f.now + 12s; f.now < until;) {
        slots_asked ask;
        ask.peer = "entry-1";
        waiting_request waiting;
        waiting.request = ++request;
        waiting.request_class = "reads";
        waiting.nature = request_nature::retriable;
        waiting.time_left = 20ms;
        ask.waiting.push_back(waiting);
        f.send(ask);
        const auto given = f.all<give_grant>();
        f.pass(5ms);
        for (const auto& each : given) {
            server.add(f.now);
            grant_use use;
            use.service_time = 5ms;
            use.terms = limited_to(2);
            f.send(grant_returned{"entry-1", each.grant, use});
        }
        f.pass(5ms);
    }
    CHECK(server.most() <= 8);
    CHECK(server.most() >= 4);
}

TEST_CASE("a limit ends with the process that named it") {
    // Guards against a new process at the same address that inherits the need
    // of the one before.
    limited_fixture f(1, 1);
    const auto start_as = [&f](backend_incarnation incarnation) {
        configuration changed = *f.view.config;
        changed.services[0].backend_servers[0].incarnation = incarnation;
        f.view.config = std::make_shared<const configuration>(changed);
        f.apply_view();
    };
    start_as(6);
    f.terms = limited_to(0);
    static_cast<void>(f.requests_to_a(1s));
    start_as(7);
    f.arrive(100000, 500ms);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("callers that exceed all limits are refused at once, and spread") {
    // Guards against requests that wait for slots that no request may use, and
    // against callers that are told to return faster than the servers allow.
    limited_fixture f(1, 1);
    f.terms = limited_to(4);
    static_cast<void>(f.requests_to_a(3s));
    request_id request = 100000;
    f.arrive(++request, 100ms);
    const auto first = f.all<refuse_request>();
    REQUIRE(first.size() == 1);
    f.arrive(++request, 100ms);
    const auto second = f.all<refuse_request>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].retry_after - first[0].retry_after >= 200ms);
    CHECK(f.scheduler().load(f.now).working_slots > 0);
}

TEST_CASE("a straggler is used when the other servers name a limit") {
    // Guards against refusals beside an idle server: with the others limited it
    // gets more than before, slows down and is passed over for it.
    scheduler_fixture f(2, 4, 2);
    f.now = start;
    request_id request = 0;
    const auto finish = [&f](const start_request& started,
                             const backend_terms& terms) {
        request_finished ended;
        ended.request = started.request;
        ended.service_time = started.backend_server == "b" ? 100ms : 20ms;
        ended.terms = terms;
        f.send(ended);
    };
    for (int i = 0; i < 100; ++i) {
        f.arrive(++request);
        const auto started = f.all<start_request>();
        REQUIRE(started.size() == 1);
        f.pass(100ms);
        finish(started[0], backend_terms());
    }
    REQUIRE(f.scheduler().slots()[1].straggler);
    unsigned refused = 0;
    for (int i = 0; i < 50; ++i) {
        f.arrive(++request, 300ms);
        refused += static_cast<unsigned>(f.all<refuse_request>().size());
        const auto started = f.all<start_request>();
        f.pass(100ms);
        for (const auto& each : started) {
            finish(each, each.backend_server == "a" ? limited_to(1)
                                                    : backend_terms());
        }
    }
    CHECK(refused == 0);
}
