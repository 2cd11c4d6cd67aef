#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

#include "membership_world.hpp"

using namespace waxwingvale;

namespace {

constexpr unsigned instance_count = 4;

// Broken on purpose: takes whatever word comes last.
class last_word_wins : public membership::member_precedence {
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

// The name is the library's.
void showValue( // NOLINT(readability-identifier-naming)
    const world_event& event, std::ostream& out) {
    out << "step " << static_cast<int>(event.step) << " at " << event.instance
        << " choice " << event.choice;
}

} // namespace waxwingvale

TEST_CASE("after any faults all agree on who runs, in which life") {
    // Instances crash, are replaced, sleep and lose each other while messages
    // arrive late, twice or never. If afterwards two of them had different
    // members, they would hand out the same slots twice, or steer callers to
    // instances that are no more.
    CHECK(rc::check("latest assertion wins", [] {
        run_schedule(std::make_shared<membership::latest_assertion_wins>());
    }));
}

TEST_CASE("the checker catches members that believe the last word") {
    // The same schedules against a rule that is known to be wrong: late word
    // of a former life brings it back.
    CHECK_FALSE(rc::check("last word wins (must be falsified)", [] {
        run_schedule(std::make_shared<last_word_wins>());
    }));
}
