#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

#include "fencing_world.hpp"

using namespace waxwingvale;

namespace {

constexpr unsigned instance_count = 4;

// A deliberately wrong rule: the file offered last is put in force.
class last_offered_wins : public membership::configuration_precedence {
public:
    bool replaces(std::uint64_t candidate,
                  std::uint64_t in_force) const override {
        return candidate != in_force;
    }
};

rc::Gen<std::vector<fencing_event>> any_schedule() {
    return rc::gen::container<std::vector<fencing_event>>(
        rc::gen::build<fencing_event>(
            rc::gen::set(&fencing_event::step,
                         rc::gen::cast<fencing_step>(rc::gen::inRange(
                             0, static_cast<int>(fencing_step_count)))),
            rc::gen::set(&fencing_event::instance,
                         rc::gen::inRange(0U, instance_count)),
            rc::gen::set(&fencing_event::choice, rc::gen::inRange(0U, 12U))));
}

void run_schedule(
    std::shared_ptr<const membership::configuration_precedence> rule) {
    const auto schedule = *any_schedule();
    fencing_world world(instance_count, std::move(rule));
    for (const auto& event : schedule) {
        world.run(event);
        RC_ASSERT(!world.violation());
    }
    world.settle();
    RC_ASSERT(!world.violation());
    RC_ASSERT(world.agreed());
}

} // namespace

namespace waxwingvale {

// RapidCheck requires this name.
void showValue( // NOLINT(readability-identifier-naming)
    const fencing_event& event, std::ostream& out) {
    out << "step " << static_cast<int>(event.step) << " at " << event.instance
        << " choice " << event.choice;
}

} // namespace waxwingvale

TEST_CASE("no schedule puts an older configuration in force again") {
    // Guards against limits and backend servers that operators have already
    // removed coming back into effect. Readers of the platform lag, instances
    // are paused and restarted, and files relayed by peers arrive late, twice
    // or not at all.
    CHECK(rc::check("newest revision wins", [] {
        run_schedule(std::make_shared<membership::newest_revision_wins>());
    }));
}

TEST_CASE(
    "the checker detects an instance that accepts any file offered last") {
    // Runs the same schedules with a rule that is known to be wrong. If they
    // did not expose it, the test above would prove nothing.
    CHECK_FALSE(rc::check("last offer wins (must be falsified)", [] {
        run_schedule(std::make_shared<last_offered_wins>());
    }));
}
