#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Runs requests one after the other; those on "a" end as told, others well.
class one_at_a_time {
public:
    explicit one_at_a_time(scheduler_fixture& fixture) : fixture_(fixture) {}

    void run(int requests, attempt_verdict on_a, duration time_on_a) {
        for (int i = 0; i < requests; ++i) {
            fixture_.arrive(next_);
            const auto started = fixture_.all<start_request>();
            REQUIRE(started.size() == 1);
            const bool at_a = started[0].backend_server == "a";
            on_a_ += at_a ? 1 : 0;
            fixture_.now += at_a ? time_on_a : 20ms;
            fixture_.finish(next_, at_a ? on_a : attempt_verdict::answered,
                            at_a ? time_on_a : duration(20ms));
            ++next_;
        }
    }

    int on_a() const { return on_a_; }

private:
    scheduler_fixture& fixture_;
    request_id next_ = 1;
    int on_a_ = 0;
};

} // namespace

TEST_CASE("a backend server that fails fast is passed over") {
    // Its errors come quickest, so that it is free whenever a request comes.
    scheduler_fixture f(3, 2, 3);
    one_at_a_time traffic(f);
    traffic.run(200, attempt_verdict::failed, 1ms);
    CHECK(traffic.on_a() < 20);
    CHECK(f.scheduler().slots()[0].failing);
}

TEST_CASE("a backend server that recovered is used again") {
    scheduler_fixture f(3, 2, 3);
    one_at_a_time failing(f);
    failing.run(100, attempt_verdict::failed, 1ms);
    REQUIRE(f.scheduler().slots()[0].failing);
    f.now += 60s;
    one_at_a_time well(f);
    well.run(100, attempt_verdict::answered, 20ms);
    CHECK(!f.scheduler().slots()[0].failing);
    CHECK(well.on_a() > 10);
}

TEST_CASE("errors of all backend servers shut none out") {
    // Every request fails, since something behind all of them broke. Were
    // they all shut out, the service would stay down after the repair.
    scheduler_fixture f(2, 1, 2);
    for (request_id id = 1; id <= 50; ++id) {
        f.arrive(id);
        REQUIRE(f.all<start_request>().size() == 1);
        f.now += 1ms;
        f.finish(id, attempt_verdict::failed, 1ms);
    }
}

TEST_CASE("an owner of failing servers only asks the other owners first") {
    // The one backend server that this instance owns answers 500 at once.
    // Were it used because nothing else is owned here, half of all callers
    // would see an error while the other owner's servers are well.
    scheduler_fixture f(2, 2, 1);
    one_at_a_time failing(f);
    failing.run(10, attempt_verdict::failed, 1ms);
    REQUIRE(f.scheduler().slots()[0].failing);
    f.link_peer();
    f.arrive(1000);
    CHECK(f.all<start_request>().empty());
    CHECK(f.all<ask_slots>().size() == 1);
    // Nobody lends: then an error is better than no answer.
    f.pass(60ms);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a straggler is passed over and found again when well") {
    scheduler_fixture f(3, 2, 3);
    one_at_a_time slow(f);
    slow.run(200, attempt_verdict::answered, 160ms);
    CHECK(f.scheduler().slots()[0].straggler);
    CHECK(slow.on_a() < 30);
    one_at_a_time well(f);
    well.run(1000, attempt_verdict::answered, 20ms);
    CHECK(!f.scheduler().slots()[0].straggler);
    CHECK(well.on_a() > 100);
}

TEST_CASE("a server that sheds gets less for a while, then all again") {
    // Two owners hand out the same slots during a partition, and the backend
    // server refuses what is too much. Asked again at once it would refuse
    // again, at the cost of a round trip each.
    scheduler_fixture f(1, 4, 1);
    f.arrive(1);
    f.finish(1, attempt_verdict::shed, 1ms);
    CHECK(f.scheduler().slots()[0].usable == 2);
    f.arrive(2);
    CHECK(f.all<start_request>().empty());
    f.pass(10ms);
    CHECK(f.all<start_request>().size() == 1);
    f.finish(2);
    for (request_id id = 3; id < 20; ++id) {
        f.arrive(id);
        f.finish(id);
    }
    CHECK(f.scheduler().slots()[0].usable == 4);
}

TEST_CASE("servers that refuse with slots free keep their slots") {
    // A fault makes every backend server of a service refuse half of its
    // requests at random, with most of its slots free. Taken for full, they
    // would be given one request at a time, and callers that they could well
    // serve would be turned away by us, for long after the fault has passed.
    scheduler_fixture f(2, 4, 2);
    for (request_id id = 1; id <= 40; ++id) {
        f.arrive(id);
        request_finished refused;
        refused.request = id;
        refused.verdict =
            id % 2 == 0 ? attempt_verdict::answered : attempt_verdict::shed;
        refused.service_time = id % 2 == 0 ? 20ms : 1ms;
        refused.load = backend_load{0, 0, 4, 1.0};
        f.send(refused);
        f.pass(10ms);
    }
    CHECK(f.scheduler().slots()[0].usable == 4);
    CHECK(f.scheduler().slots()[1].usable == 4);
}

TEST_CASE("a server that refuses everything is asked less and less") {
    // It says that it has free slots and refuses all the same. Asked again
    // and again it would take every request for itself, since it is always
    // the emptiest.
    scheduler_fixture f(1, 4, 1);
    unsigned asked = 0;
    for (request_id id = 1; id <= 200; ++id) {
        f.arrive(id);
        for (const start_request& started : f.all<start_request>()) {
            ++asked;
            request_finished refused;
            refused.request = started.request;
            refused.verdict = attempt_verdict::shed;
            refused.load = backend_load{0, 0, 4, 1.0};
            f.send(refused);
        }
        f.pass(10ms);
    }
    CHECK(asked < 20);
}

TEST_CASE("a restarted backend server is ramped up from one slot") {
    // Its caches are cold: given all its slots at once, each of its first
    // requests would be slow.
    scheduler_fixture f(1, 4, 1);
    f.view.beliefs = {{"a",
                       1,
                       backend_state::serving,
                       belief_source::traffic,
                       "entry-0",
                       {}}};
    f.apply_view();
    CHECK(f.scheduler().slots()[0].usable == 4);
    f.view.beliefs[0].incarnation = 2;
    f.apply_view();
    CHECK(f.scheduler().slots()[0].usable == 1);
}

TEST_CASE("a suspect of crashing servers runs alone") {
    // Several requests were in flight when a backend server died. The one
    // that did it must not take others with it a second time.
    scheduler_fixture f(1, 2, 1);
    request_arrived suspect = f.request(1);
    suspect.isolated = true;
    f.send(suspect);
    REQUIRE(f.all<start_request>().size() == 1);
    f.arrive(2);
    CHECK(f.all<start_request>().empty());
    f.finish(1);
    CHECK(f.all<start_request>().size() == 1);
}
