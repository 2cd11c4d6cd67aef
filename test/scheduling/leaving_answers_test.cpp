#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

backend_terms leaving_terms() {
    backend_terms terms;
    terms.leaving = true;
    return terms;
}

void answer(scheduler_fixture& f, request_id request,
            const backend_terms& terms) {
    request_finished ended;
    ended.request = request;
    ended.service_time = 5ms;
    ended.terms = terms;
    f.send(ended);
}

// An owner of "a", which has said that it leaves, and of further servers.
scheduler_fixture owner_of_leaving_server(unsigned servers) {
    scheduler_fixture f(servers, 4, servers);
    f.arrive(1);
    answer(f, 1, leaving_terms());
    return f;
}

} // namespace

TEST_CASE("a server gets nothing once an answer has said that it leaves") {
    // Guards against requests to it until the view tells the same, which takes
    // as long as the platform's store is down.
    scheduler_fixture f = owner_of_leaving_server(2);
    f.apply_view();
    for (request_id id = 2; id < 20; ++id) {
        f.arrive(id);
        REQUIRE(f.all<start_request>().size() == 1);
        CHECK(f.all<start_request>()[0].backend_server == "b");
        answer(f, id, backend_terms());
    }
}

TEST_CASE("an answer sent before does not take back that a server leaves") {
    scheduler_fixture f(1, 4, 1);
    f.arrive(1);
    f.arrive(2);
    answer(f, 2, leaving_terms());
    answer(f, 1, backend_terms());
    f.arrive(3);
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason ==
          refusal_reason::no_backend_server);
}

TEST_CASE("what waits is refused at once when the last server leaves") {
    // Guards against callers who wait in vain until their time is up.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2);
    f.arrive(3);
    REQUIRE(f.scheduler().queued() == 2);
    answer(f, 1, leaving_terms());
    CHECK(f.all<refuse_request>().size() == 2);
    CHECK(f.scheduler().queued() == 0);
}

TEST_CASE("the head of a long answer tells that its server leaves") {
    scheduler_fixture f(2, 1, 2);
    f.arrive(1);
    const auto first = f.all<start_request>();
    REQUIRE(first.size() == 1);
    f.send(answer_begun{1, leaving_terms()});
    CHECK(f.scheduler().load(f.now).working_slots == 1);
}

TEST_CASE("a borrower gives back a slot of a server that told it so") {
    // Guards against the slot of a server that leaves, lent by an owner who has
    // not heard of it yet.
    scheduler_fixture f(1, 4, 0);
    f.link_peer();
    f.arrive(1);
    f.send(grant_received{"entry-1", 1, 1, "a", 1s, 0ms});
    REQUIRE(f.all<start_request>().size() == 1);
    answer(f, 1, leaving_terms());
    const auto told = f.all<return_grant>();
    REQUIRE(told.size() == 1);
    CHECK(told[0].use->terms->leaving);
    f.send(grant_received{"entry-1", 2, 2, "a", 1s, 0ms});
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK_FALSE(f.all<return_grant>()[0].use);
}

TEST_CASE("an owner that hears so from a borrower lends no slot of it") {
    scheduler_fixture f(1, 4, 1);
    f.link_peer();
    slots_asked ask;
    ask.peer = "entry-1";
    waiting_request waiting;
    waiting.request = 21;
    waiting.request_class = "reads";
    waiting.nature = request_nature::retriable;
    waiting.time_left = 100ms;
    ask.waiting = {waiting};
    f.send(ask);
    REQUIRE(f.all<give_grant>().size() == 1);
    grant_use use;
    use.terms = leaving_terms();
    f.send(grant_returned{"entry-1", f.all<give_grant>()[0].grant, use});
    ask.waiting[0].request = 22;
    f.send(ask);
    CHECK(f.all<give_grant>().empty());
}

TEST_CASE("a new process of a server that left is used") {
    scheduler_fixture f(1, 4, 1);
    const auto start_as = [&f](backend_incarnation incarnation) {
        configuration changed = *f.view.config;
        changed.services[0].backend_servers[0].incarnation = incarnation;
        f.view.config = std::make_shared<const configuration>(changed);
        f.apply_view();
    };
    start_as(6);
    f.arrive(1);
    answer(f, 1, leaving_terms());
    f.arrive(2);
    CHECK(f.all<start_request>().empty());
    start_as(7);
    f.arrive(3);
    CHECK(f.all<start_request>().size() == 1);
}
