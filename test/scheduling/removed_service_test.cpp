#include <catch2/catch.hpp>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// The next configuration does not name the service.
void take_away(scheduler_fixture& f) {
    configuration without = *f.view.config;
    without.services.clear();
    f.view.config = std::make_shared<const configuration>(without);
    f.view.owners = {};
    f.apply_view();
}

} // namespace

TEST_CASE("what waits for a service that is taken away is refused at once") {
    // The operator takes a service out of the configuration. No slot of it
    // comes any more, and whoever waits on would learn that at its deadline.
    scheduler_fixture f(1, 1, 1);
    f.arrive(1);
    f.arrive(2);
    REQUIRE(f.scheduler().queued() == 1);
    take_away(f);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].request == 2);
    CHECK(f.all<refuse_request>()[0].reason ==
          refusal_reason::no_backend_server);
    CHECK(f.scheduler().queued() == 0);
    f.finish(1);
    CHECK(f.scheduler().in_flight() == 0);
}

TEST_CASE("what waits for a peer's slot of a removed service is refused too") {
    scheduler_fixture f(1, 1, 0);
    f.link_peer();
    f.arrive(1);
    REQUIRE(f.all<refuse_request>().empty());
    take_away(f);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].request == 1);
    CHECK(f.scheduler().queued() == 0);
}

TEST_CASE("a removed service takes no second attempt, and is as it was after") {
    // A call was on its way when the service was taken away, and its attempt
    // is lost. The service comes back with the next configuration.
    scheduler_fixture f(2, 1, 2);
    const auto whole = f.view;
    f.arrive(1);
    f.arrive(2);
    const auto lost = f.scheduler().slots();
    take_away(f);
    f.arrive(3);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].request == 3);
    f.view = whole;
    f.apply_view();
    CHECK(f.scheduler().slots() == lost);
    f.arrive(4);
    CHECK(f.all<start_request>().empty());
    f.finish(1);
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].request == 4);
}
