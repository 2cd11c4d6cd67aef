#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Sets the incarnation of server "a" in the registry.
void set_registered_incarnation(scheduler_fixture& f, backend_incarnation at) {
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

backend_belief belief_about_a(backend_incarnation of, backend_state state) {
    return {"a", of, state, belief_source::traffic, "entry-1", time_point()};
}

} // namespace

TEST_CASE("requests lost in a server restart do not occupy its slots") {
    // A backend server crashes behind a partition and restarts under the same
    // name. The connections do not report the crash. If the lost requests still
    // counted, they would occupy slots of the server until their deadlines.
    scheduler_fixture f(1, 2, 1);
    set_registered_incarnation(f, 100);
    f.arrive(1);
    f.arrive(2);
    CHECK(report_of(f, "a").in_flight == 2);
    set_registered_incarnation(f, 200);
    CHECK(report_of(f, "a").in_flight == 0);
    f.arrive(3);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE(
    "the health of a previous incarnation does not apply to the new one") {
    // The previous process failed. If that counted for the new one, a working
    // server would be excluded.
    scheduler_fixture f(2, 2, 2);
    set_registered_incarnation(f, 100);
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
    set_registered_incarnation(f, 200);
    CHECK_FALSE(report_of(f, "a").failing);
    CHECK(report_of(f, "a").usable == 1); // it starts cold
}

TEST_CASE("a failure on a previous incarnation does not apply to the new one") {
    // The connection to the previous process breaks seconds after the new one
    // has started to serve. If that counted as a crash of the new process, a
    // working server would be excluded.
    scheduler_fixture f(2, 2, 2);
    set_registered_incarnation(f, 100);
    f.arrive(1);
    f.arrive(2);
    set_registered_incarnation(f, 200);
    f.finish(1, attempt_verdict::died);
    f.finish(2, attempt_verdict::died);
    CHECK_FALSE(report_of(f, "a").failing);
    CHECK(report_of(f, "a").in_flight == 0);
}

TEST_CASE("late beliefs about a previous incarnation are ignored") {
    // A peer's belief that the server is leaving arrives after the restart. A
    // leaving server never returns in the same incarnation, so that the belief
    // would exclude the new incarnation for good.
    scheduler_fixture f(1, 2, 1);
    set_registered_incarnation(f, 100);
    f.view.beliefs = {belief_about_a(100, backend_state::leaving)};
    f.apply_view();
    f.arrive(1);
    CHECK(f.all<start_request>().empty());
    set_registered_incarnation(f, 200);
    f.arrive(2);
    CHECK(report_of(f, "a").usable == 1);
    // A belief about the new incarnation does apply to it.
    f.view.beliefs = {belief_about_a(200, backend_state::leaving)};
    f.apply_view();
    CHECK(report_of(f, "a").usable == 0);
}

TEST_CASE("a belief without an incarnation applies to any incarnation") {
    scheduler_fixture f(1, 2, 1);
    f.view.beliefs = {belief_about_a(0, backend_state::leaving)};
    f.apply_view();
    CHECK(report_of(f, "a").usable == 0);
    set_registered_incarnation(f, 100);
    CHECK(report_of(f, "a").usable == 0);
}
