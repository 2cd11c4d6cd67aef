#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// The registry names the server's start; "a" is the first one.
void starts(scheduler_fixture& f, backend_incarnation at) {
    configuration changed = *f.view.config;
    changed.services[0].backend_servers[0].incarnation = at;
    f.view.config = std::make_shared<const configuration>(changed);
    f.apply_view();
}

slot_report report_of(const scheduler_fixture& f, const std::string& server) {
    for (const slot_report& each : f.scheduler().slots()) {
        if (each.backend_server == server) {
            return each;
        }
    }
    return {};
}

backend_belief word(backend_incarnation of, backend_state state) {
    return {"a", of, state, belief_source::traffic, "entry-1", time_point()};
}

} // namespace

TEST_CASE("a server that started again is not held by its former requests") {
    // A backend server crashes behind a partition and starts again under the
    // name that it had. Nothing tells of its connections: counted on, the
    // requests that were lost there would keep its slots until their deadlines.
    scheduler_fixture f(1, 2, 1);
    starts(f, 100);
    f.arrive(1);
    f.arrive(2);
    CHECK(report_of(f, "a").in_flight == 2);
    starts(f, 200);
    CHECK(report_of(f, "a").in_flight == 0);
    f.arrive(3);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("how the former process fared does not count for the new one") {
    // It was slow and failed; the one that follows it knows nothing of that.
    scheduler_fixture f(2, 2, 2);
    starts(f, 100);
    for (request_id id = 1; id <= 40; ++id) {
        f.arrive(id);
        const auto started = f.all<start_request>();
        if (started.empty()) {
            f.now += 50ms;
            continue;
        }
        const bool on_a = started[0].backend_server == "a";
        f.now += 20ms;
        f.finish(id,
                 on_a ? attempt_verdict::failed : attempt_verdict::answered);
    }
    CHECK(report_of(f, "a").failing);
    starts(f, 200);
    CHECK_FALSE(report_of(f, "a").failing);
    CHECK(report_of(f, "a").usable == 1); // it begins cold
}

TEST_CASE(
    "the end of a request on the former process says nothing of the new") {
    // The connection to the former process breaks seconds after the new one has
    // begun to serve. Taken for the new one's death, it would be passed over.
    scheduler_fixture f(2, 2, 2);
    starts(f, 100);
    f.arrive(1);
    f.arrive(2);
    starts(f, 200);
    f.finish(1, attempt_verdict::died);
    f.finish(2, attempt_verdict::died);
    CHECK_FALSE(report_of(f, "a").failing);
    CHECK(report_of(f, "a").in_flight == 0);
}

TEST_CASE("late word of the former process does not count for the new one") {
    // A peer's "it is leaving" was under way when the server started again. A
    // server that leaves never comes back under the same start, so that
    // believed it would shut the new one out for good.
    scheduler_fixture f(1, 2, 1);
    starts(f, 100);
    f.view.beliefs = {word(100, backend_state::leaving)};
    f.apply_view();
    f.arrive(1);
    CHECK(f.all<start_request>().empty());
    starts(f, 200);
    f.arrive(2);
    CHECK(report_of(f, "a").usable == 1);
    // And word of the new one does not count for a former that is still known.
    f.view.beliefs = {word(200, backend_state::leaving)};
    f.apply_view();
    CHECK(report_of(f, "a").usable == 0);
}

TEST_CASE("word that does not tell the server's start counts as before") {
    scheduler_fixture f(1, 2, 1);
    f.view.beliefs = {word(0, backend_state::leaving)};
    f.apply_view();
    CHECK(report_of(f, "a").usable == 0);
    starts(f, 100);
    CHECK(report_of(f, "a").usable == 0);
}
