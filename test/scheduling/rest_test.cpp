#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

constexpr duration wanted = 3s;

// The server of the request turned it away and asks for rest.
void turn_away(scheduler_fixture& f, request_id request) {
    request_finished ended;
    ended.request = request;
    ended.verdict = attempt_verdict::shed;
    ended.service_time = 1ms;
    ended.load = backend_load{0, 0, 4, 1};
    ended.terms.emplace();
    ended.terms->rest = wanted;
    f.send(ended);
}

grant_received grant_of(const std::string& server, grant_id grant,
                        request_id request) {
    return {"entry-1", grant, request, server, 1s, 0ms};
}

slots_asked ask_for(request_id request) {
    slots_asked ask;
    ask.peer = "entry-1";
    waiting_request waiting;
    waiting.request = request;
    waiting.request_class = "reads";
    waiting.nature = request_nature::retriable;
    waiting.time_left = 100ms;
    ask.waiting = {waiting};
    return ask;
}

} // namespace

TEST_CASE("a server that asks an owner for rest gets none of its requests") {
    // Guards against a server that is asked again after a pause of some
    // milliseconds, since it tells free slots.
    scheduler_fixture f(2, 4, 2);
    f.arrive(1);
    REQUIRE(f.all<start_request>().size() == 1);
    const auto tired = f.all<start_request>()[0].backend_server;
    turn_away(f, 1);
    for (request_id id = 2; id < 28; ++id) {
        f.pass(100ms);
        f.arrive(id);
        REQUIRE(f.all<start_request>().size() == 1);
        CHECK(f.all<start_request>()[0].backend_server != tired);
        f.finish(id);
    }
    f.pass(wanted);
    bool used = false;
    for (request_id id = 30; id < 40; ++id) {
        f.arrive(id);
        REQUIRE(f.all<start_request>().size() == 1);
        used = used || f.all<start_request>()[0].backend_server == tired;
        f.finish(id);
        f.pass(10ms);
    }
    CHECK(used);
}

TEST_CASE("a borrower sends nothing to a server that asked it for rest") {
    // Guards against the slot that an owner lends without knowing.
    scheduler_fixture f(2, 4, 0);
    f.link_peer();
    f.arrive(1);
    f.send(grant_of("a", 1, 1));
    REQUIRE(f.all<start_request>().size() == 1);
    turn_away(f, 1);
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK(f.all<return_grant>()[0].use->terms->rest == wanted);
    f.arrive(2);
    REQUIRE(f.all<ask_slots>().size() == 1);
    const auto& excluded = f.all<ask_slots>()[0].waiting.at(0).excluded;
    CHECK(excluded == std::vector<std::string>{"a"});
    f.send(grant_of("a", 2, 2));
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK_FALSE(f.all<return_grant>()[0].use);
    f.send(grant_of("b", 3, 2));
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("an owner still lends a server that asked only itself for rest") {
    // Guards against a server that is lost for all instances although it wants
    // nothing of one.
    scheduler_fixture f(1, 4, 1);
    f.link_peer();
    f.arrive(1);
    turn_away(f, 1);
    f.pass(1s);
    f.arrive(2);
    CHECK(f.all<start_request>().empty());
    f.send(ask_for(21));
    CHECK(f.all<give_grant>().size() == 1);
}

TEST_CASE("an owner passes over a server that asks its borrowers for rest") {
    // Guards against one detour after the other, of each instance in turn.
    scheduler_fixture f(2, 4, 2);
    f.link_peer();
    unsigned turned_away = 0;
    for (request_id id = 1; id <= 100; ++id) {
        f.send(ask_for(id));
        REQUIRE(f.all<give_grant>().size() == 1);
        const auto given = f.all<give_grant>()[0];
        grant_use use;
        use.service_time = 5ms;
        if (given.backend_server == "a") {
            ++turned_away;
            use.verdict = attempt_verdict::shed;
            use.load = backend_load{0, 0, 4, 1};
            use.terms.emplace();
            use.terms->rest = wanted;
        }
        f.send(grant_returned{"entry-1", given.grant, use});
        f.pass(30ms);
    }
    CHECK(turned_away <= 5);
}

TEST_CASE("requests are refused at once while all servers rest for long") {
    // Guards against callers who wait in vain, and against requests that were
    // waiting when the last server asked for rest.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2, 200ms);
    REQUIRE(f.scheduler().queued() == 1);
    turn_away(f, 1);
    CHECK(f.all<refuse_request>().size() == 1);
    f.arrive(3, 500ms);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason ==
          refusal_reason::no_backend_server);
    f.arrive(4, 20s);
    CHECK(f.all<refuse_request>().empty());
    f.pass(wanted);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a server at rest is not probed, and a probe may ask for rest") {
    scheduler_fixture f(1, 4, 1);
    CHECK(f.scheduler().may_probe("a", f.now));
    probe_ended probe;
    probe.backend_server = "a";
    probe.answered = true;
    probe.terms.emplace();
    probe.terms->rest = wanted;
    f.send(probe);
    f.pass(2s);
    CHECK_FALSE(f.scheduler().may_probe("a", f.now));
    f.arrive(1, 500ms);
    CHECK(f.all<start_request>().empty());
    f.pass(wanted);
    CHECK(f.scheduler().may_probe("a", f.now));
}

TEST_CASE("a rest ends with the process that asked for it") {
    scheduler_fixture f(1, 4, 1);
    const auto start_as = [&f](backend_incarnation incarnation) {
        configuration changed = *f.view.config;
        changed.services[0].backend_servers[0].incarnation = incarnation;
        f.view.config = std::make_shared<const configuration>(changed);
        f.apply_view();
    };
    start_as(6);
    f.arrive(1);
    turn_away(f, 1);
    f.arrive(2, 500ms);
    CHECK(f.all<start_request>().empty());
    start_as(7);
    f.arrive(3);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a server that asked for rest has all its slots afterwards") {
    // Guards against a server that is well and gets one request at a time, as
    // after refusals for want of a slot.
    scheduler_fixture f(1, 4, 1);
    for (request_id id = 1; id <= 4; ++id) {
        f.arrive(id);
        request_finished ended;
        ended.request = id;
        ended.verdict = attempt_verdict::shed;
        ended.service_time = 1ms;
        ended.terms.emplace();
        ended.terms->rest = wanted;
        f.send(ended);
        f.pass(wanted);
    }
    CHECK(f.scheduler().slots()[0].usable == 4);
}
