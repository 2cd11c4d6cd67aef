#include "platform/growing_routes.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

// The bound within which a confirmed change is in force everywhere.
constexpr duration in_force_within = 2s;

} // namespace

TEST_CASE("a route is not refused for good while the store is not heard") {
    // Guards against 404 for a route that was confirmed long before, by
    // instances that have heard nothing of the store since.
    growing_routes f;
    f.go_on(1500ms);
    REQUIRE(f.ask_all_for(2)["404"] == f.instances.size());
    f.store.set_silent(true);
    f.write_configuration(2);
    f.go_on(in_force_within);
    for (int i = 0; i < 5; ++i) {
        CHECK(f.ask_all_for(2)["503 unproved-configuration"] ==
              f.instances.size());
        f.go_on(200ms);
    }
    CHECK(f.answers[200] > 0); // by known routes all is served meanwhile
    f.store.set_silent(false);
    CHECK(f.all_know_within(2, in_force_within));
    f.go_on(1s);
    CHECK(f.ask_all_for(3)["404"] == f.instances.size());
}

TEST_CASE("after all were killed no confirmed route is refused for good") {
    // Guards against a first view that is older than a change which was
    // confirmed just before, and against a fleet that serves late again.
    growing_routes f;
    f.go_on(1500ms);
    f.write_configuration(2);
    for (std::size_t each = 0; each < f.instances.size(); ++each) {
        f.instances.process(each).kill();
    }
    f.instances.start_while([&] { f.loop.run_once(false); });
    const auto back = f.timers.now();
    bool all_served = false;
    while (!all_served && f.timers.now() - back < 5s) {
        auto counts = f.ask_all_for(2);
        CHECK(counts["404"] == 0);
        all_served = counts["200"] == f.instances.size();
        f.go_on(20ms);
    }
    CHECK(all_served);
    CHECK(f.timers.now() - back < in_force_within);
}
