#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Runs requests one after the other. Requests on "a" end with the given
// verdict, others succeed.
class sequential_requests {
public:
    explicit sequential_requests(scheduler_fixture& fixture)
        : fixture_(fixture) {}

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

TEST_CASE("a backend server that fails fast is excluded") {
    // Its errors are faster than answers of other servers, so that it always
    // has free slots and would attract most requests.
    scheduler_fixture f(3, 2, 3);
    sequential_requests traffic(f);
    traffic.run(200, attempt_verdict::failed, 1ms);
    CHECK(traffic.on_a() < 20);
    CHECK(f.scheduler().slots()[0].failing);
}

TEST_CASE("a backend server that recovered is used again") {
    scheduler_fixture f(3, 2, 3);
    sequential_requests failing(f);
    failing.run(100, attempt_verdict::failed, 1ms);
    REQUIRE(f.scheduler().slots()[0].failing);
    f.now += 60s;
    sequential_requests recovered(f);
    recovered.run(100, attempt_verdict::answered, 20ms);
    CHECK(!f.scheduler().slots()[0].failing);
    CHECK(recovered.on_a() > 10);
}

TEST_CASE("no server is excluded if all servers fail") {
    // Every request fails because of a fault that affects all servers. If all
    // servers were excluded, the service would stay down after the repair.
    scheduler_fixture f(2, 1, 2);
    for (request_id id = 1; id <= 50; ++id) {
        f.arrive(id);
        REQUIRE(f.all<start_request>().size() == 1);
        f.now += 1ms;
        f.finish(id, attempt_verdict::failed, 1ms);
    }
}

TEST_CASE("an owner whose servers all fail asks other owners first") {
    // The only backend server that this instance owns answers 500 immediately.
    // If the instance used it because it owns no other, half of all callers
    // would get an error although the servers of the other owner work.
    scheduler_fixture f(2, 2, 1);
    sequential_requests failing(f);
    failing.run(10, attempt_verdict::failed, 1ms);
    REQUIRE(f.scheduler().slots()[0].failing);
    f.link_peer();
    f.arrive(1000);
    CHECK(f.all<start_request>().empty());
    CHECK(f.all<ask_slots>().size() == 1);
    // No owner grants a slot; an error is better than no answer.
    f.pass(60ms);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a straggler is avoided and used again after recovery") {
    scheduler_fixture f(3, 2, 3);
    sequential_requests slow(f);
    slow.run(200, attempt_verdict::answered, 160ms);
    CHECK(f.scheduler().slots()[0].straggler);
    CHECK(slow.on_a() < 30);
    sequential_requests recovered(f);
    recovered.run(1000, attempt_verdict::answered, 20ms);
    CHECK(!f.scheduler().slots()[0].straggler);
    CHECK(recovered.on_a() > 100);
}

// Guards against a server that stays unused for seconds at a service whose
// requests must all run at most once, though it has recovered.
TEST_CASE("bookings are samples of a straggler like reads") {
    constexpr duration longest_gap = 4500ms;
    scheduler_fixture f(3, 2, 3);
    sequential_requests slow(f);
    slow.run(200, attempt_verdict::answered, 160ms);
    REQUIRE(f.scheduler().slots()[0].straggler);
    std::vector<time_point> samples;
    for (request_id id = 1001; id <= 1150; ++id) {
        auto booking = f.request(id);
        booking.nature = request_nature::at_most_once;
        f.send(booking);
        REQUIRE(f.all<start_request>().size() == 1);
        const bool at_a = f.all<start_request>()[0].backend_server == "a";
        if (at_a) {
            samples.push_back(f.now);
        }
        const duration took = at_a ? 160ms : 20ms;
        f.now += took;
        f.finish(id, attempt_verdict::answered, took);
        f.now += 100ms;
    }
    REQUIRE(samples.size() > 1);
    for (std::size_t each = 1; each < samples.size(); ++each) {
        CHECK(samples[each] - samples[each - 1] < longest_gap);
    }
}

// Guards against a server that gets nothing, though its answers come hardly
// later than those of the others: work of less than a millisecond takes several
// times as long whenever the machine is busy.
TEST_CASE("a straggler whose delay nobody notices is used like others") {
    constexpr std::size_t servers = 4;
    scheduler_fixture f(servers, 1, servers);
    std::size_t started = 0;
    for (request_id round = 0; round < 100; ++round) {
        std::map<request_id, duration> running;
        started = 0;
        for (request_id each = 1; each <= servers; ++each) {
            f.arrive(10 * round + each);
            for (const auto& start : f.all<start_request>()) {
                const bool at_a = start.backend_server == "a";
                running[start.request] = at_a ? 1500us : 300us;
                ++started;
            }
        }
        f.now += 1500us;
        for (const auto& [id, took] : running) {
            f.finish(id, attempt_verdict::answered, took);
        }
        f.pass(2s); // what has waited is over
    }
    REQUIRE(f.scheduler().slots()[0].straggler);
    CHECK(started == servers);
}

TEST_CASE("a server that refuses as full gets fewer requests for a while") {
    // During a partition two owners assign the same slots, and the backend
    // server refuses the excess requests. If it were tried again at once, it
    // would refuse again, and each refusal costs a round trip.
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

TEST_CASE("servers that refuse although they have free slots keep them") {
    // A fault makes all backend servers of a service refuse half of their
    // requests at random while most of their slots are free. If they counted as
    // full, they would get one request at a time, and the instance would refuse
    // callers that they could serve, long after the fault has ended.
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

TEST_CASE("a server that refuses all requests gets fewer and fewer") {
    // The server reports free slots and still refuses. If it were tried again
    // each time, it would attract every request, because it always has the most
    // free slots.
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

TEST_CASE("a restarted backend server starts with one usable slot") {
    // Its caches are cold. If all its slots were used at once, all of its first
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

TEST_CASE("a request suspected of crashing servers runs alone") {
    // Several requests were in flight when a backend server crashed. The
    // request that caused the crash must not take others down with it a second
    // time.
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
