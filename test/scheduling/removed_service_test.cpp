#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Applies a configuration that does not name the service.
void remove_service(scheduler_fixture& f) {
    configuration without = *f.view.config;
    without.services.clear();
    f.view.config = std::make_shared<const configuration>(without);
    f.view.owners = {};
    f.apply_view();
}

} // namespace

TEST_CASE("requests queued for a service are refused when it is removed") {
    // The operator removes a service from the configuration. No slot of it will
    // become free, and without a refusal callers would wait until the deadline.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2);
    REQUIRE(f.scheduler().queued() == 1);
    remove_service(f);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].request == 2);
    CHECK(f.all<refuse_request>()[0].reason ==
          refusal_reason::no_backend_server);
    CHECK(f.scheduler().queued() == 0);
    f.finish(1);
    CHECK(f.scheduler().in_flight() == 0);
}

TEST_CASE("requests waiting for a peer's slot are refused on removal too") {
    scheduler_fixture f(1, 1, 0);
    f.link_peer();
    f.arrive(1);
    REQUIRE(f.all<refuse_request>().empty());
    remove_service(f);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].request == 1);
    CHECK(f.scheduler().queued() == 0);
}

TEST_CASE("a removed service starts nothing, and keeps its state on return") {
    // A request arrives while the configuration does not name the service. The
    // next configuration names it again, with requests still running.
    scheduler_fixture f(2, 1, 2);
    const auto original_view = f.view;
    f.arrive(1);
    f.arrive(2);
    const auto slots_before = f.scheduler().slots();
    remove_service(f);
    f.arrive(3);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].request == 3);
    f.view = original_view;
    f.apply_view();
    CHECK(f.scheduler().slots() == slots_before);
    f.arrive(4);
    CHECK(f.all<start_request>().empty());
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 4);
}
