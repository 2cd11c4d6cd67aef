#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

#include "membership_world.hpp"

using namespace waxwingvale;

namespace {

constexpr unsigned instance_count = 4;

// Deliberately wrong: accepts whichever record arrives last.
class last_record_wins : public membership::member_precedence {
public:
    bool supersedes(const membership::member_record& candidate,
                    const membership::member_record& known) const override {
        return !(candidate == known);
    }
};

rc::Gen<std::vector<world_event>> any_schedule() {
    return rc::gen::container<std::vector<world_event>>(
        rc::gen::build<world_event>(
            rc::gen::set(&world_event::step,
                         rc::gen::cast<world_step>(rc::gen::inRange(
                             0, static_cast<int>(world_step_count)))),
            rc::gen::set(&world_event::instance,
                         rc::gen::inRange(0U, instance_count)),
            rc::gen::set(&world_event::choice, rc::gen::inRange(0U, 40U))));
}

void run_schedule(std::shared_ptr<const membership::member_precedence> rule) {
    const auto schedule = *any_schedule();
    membership_world world(instance_count, std::move(rule));
    for (const auto& event : schedule) {
        world.run(event);
        RC_ASSERT(!world.violation());
    }
    world.settle();
    RC_ASSERT(!world.violation());
    const auto disagreement = world.disagreement();
    if (disagreement) {
        RC_FAIL(*disagreement);
    }
}

} // namespace

namespace waxwingvale {

// RapidCheck requires this name.
void showValue( // NOLINT(readability-identifier-naming)
    const world_event& event, std::ostream& out) {
    out << "step " << static_cast<int>(event.step) << " at " << event.instance
        << " choice " << event.choice;
}

} // namespace waxwingvale

TEST_CASE("after any faults all instances agree on members and incarnations") {
    // Guards against two instances that permanently know different members:
    // they would assign the same slots twice, or steer callers to instances
    // that no longer exist. Instances crash, are replaced, are suspended and
    // lose their links, while messages arrive late, twice or never.
    CHECK(rc::check("latest assertion wins", [] {
        run_schedule(std::make_shared<membership::latest_assertion_wins>());
    }));
}

TEST_CASE("the membership model detects a rule that accepts the last record") {
    // Runs the same kind of schedules against a rule that is known to be wrong:
    // a late record of an earlier incarnation restores that incarnation.
    CHECK_FALSE(rc::check("last record wins (must be falsified)", [] {
        run_schedule(std::make_shared<last_record_wins>());
    }));
}
