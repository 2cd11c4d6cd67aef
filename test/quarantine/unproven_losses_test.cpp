#include <catch2/catch.hpp>

#include <waxwingvale/decision/unproven_losses.hpp>

namespace {

using namespace waxwingvale::decision;

unproven_loss counted(unsigned& told, bool of_trial) {
    unproven_loss loss;
    loss.of_trial = of_trial;
    loss.on_meaning = [&told](failure_meaning meaning) {
        told += meaning == failure_meaning::of_server ? 1 : 0;
    };
    return loss;
}

TEST_CASE("an outage of all servers makes few requests suspects") {
    // Guards against hundreds of suspects, of which all instances are told,
    // when one check finds that servers answer again.
    unsigned told = 0;
    unproven_losses losses;
    for (int each = 0; each < 300; ++each) {
        losses.add(counted(told, false));
    }
    losses.tell(failure_meaning::of_server);
    CHECK(told > 0);
    CHECK(told <= 20);
}

TEST_CASE("a trial that is lost in an outage is told beside many losses") {
    // Guards against trials that are dropped, each of which costs a server
    // more.
    unsigned others = 0;
    unsigned trials = 0;
    unproven_losses losses;
    for (int each = 0; each < 300; ++each) {
        losses.add(counted(others, false));
    }
    losses.add(counted(trials, true));
    losses.tell(failure_meaning::of_server);
    CHECK(trials == 1);
}

TEST_CASE("a loss is told once, and the next outage has room again") {
    // Guards against losses that are dropped for good after a first outage.
    unsigned told = 0;
    unproven_losses losses;
    for (int each = 0; each < 300; ++each) {
        losses.add(counted(told, false));
    }
    losses.tell(failure_meaning::of_server);
    const auto first = told;
    losses.tell(failure_meaning::of_server);
    CHECK(told == first);
    losses.add(counted(told, false));
    losses.tell(failure_meaning::of_server);
    CHECK(told == first + 1);
}

} // namespace
