#include <catch2/catch.hpp>

#include "probe_budget/probe_world.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;
using probe_model::probe_rules;
using probe_model::probe_world;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

standin::schedule_run model_with(const probe_rules& rules) {
    return [rules](const standin::schedule& steps) {
        return probe_world(rules).run(steps);
    };
}

} // namespace

// Ownership of a backend server moves while instances come, go and lose each
// other, so that two may take themselves for the owner. On a backend server
// with two slots every probe too many makes a customer wait.
TEST_CASE("Probes stay within the budget while ownership moves") {
    std::size_t probes = 0;
    const auto run = [&](const standin::schedule& steps) {
        probe_world world({});
        auto violated = world.run(steps);
        probes += world.probes();
        return violated;
    };
    REQUIRE(standin::explore("probe budget", run));
    std::cout << "  probes: " << probes << '\n';
    REQUIRE(probes > 0);
}

// The bound rests on waiting for the former owner and on slowing down when cut
// off; a model that passed without them would prove nothing.
TEST_CASE("The model catches broken probe budgets") {
    const std::string over = "more probes than the budget in a window";
    probe_rules hasty;
    hasty.waits_to_settle = false;
    REQUIRE(standin::caught_after("new owners do not wait", model_with(hasty),
                                  over));
    probe_rules whole;
    whole.uses_share = false;
    REQUIRE(standin::caught_after("cut-off owners use the whole rate",
                                  model_with(whole), over));
}

TEST_CASE("A new owner waits a period and the settling time") {
    probe_limits limits;
    limits.rate = 0.5;
    limits.settle = seconds(3);
    probe_budget budget(limits);
    const time_point start{};
    budget.on_share(1, start);
    budget.on_owned("b0", start);
    REQUIRE_FALSE(budget.try_probe("b0", start + milliseconds(4999)));
    REQUIRE(budget.next_probe("b0", start) <= start + milliseconds(5001));
    REQUIRE(budget.try_probe("b0", start + milliseconds(5001)));
    REQUIRE_FALSE(budget.try_probe("b0", start + milliseconds(7000)));
    REQUIRE(budget.try_probe("b0", start + milliseconds(7002)));
    REQUIRE_FALSE(budget.try_probe("b1", start + seconds(60)));
}

TEST_CASE("A budget of nothing allows no probe") {
    probe_limits limits;
    limits.rate = 0;
    probe_budget budget(limits);
    budget.on_share(1, time_point{});
    budget.on_owned("b0", time_point{});
    REQUIRE_FALSE(budget.try_probe("b0", time_point{} + seconds(1000)));
    REQUIRE(budget.next_probe("b0", time_point{}) == time_point::max());
}

// Every view of the members brings the configuration along. If the same rate
// told again began the wait anew, nobody would ever probe.
TEST_CASE("The same rate told again changes nothing") {
    probe_limits limits;
    limits.rate = 0.5;
    limits.settle = seconds(3);
    probe_budget budget(limits);
    const time_point start{};
    budget.on_share(1, start);
    budget.on_owned("b0", start);
    for (int second = 0; second < 5; ++second) {
        budget.change_rate(0.5, start + seconds(second));
        budget.on_share(1, start + seconds(second));
    }
    REQUIRE(budget.try_probe("b0", start + milliseconds(5001)));
}

TEST_CASE("A new rate counts from nothing") {
    probe_limits limits;
    limits.rate = 0.5;
    limits.settle = seconds(0);
    probe_budget budget(limits);
    const time_point start{};
    budget.on_share(1, start);
    budget.on_owned("b0", start);
    budget.change_rate(0.1, start + seconds(10));
    REQUIRE_FALSE(budget.try_probe("b0", start + seconds(19)));
    REQUIRE(budget.try_probe("b0", start + milliseconds(20001)));
}

namespace {

// A budget of one probe a second that reaches a tenth of the instances for the
// first three seconds, as long as it takes to settle, then other shares every
// half second until `until`.
probe_budget after_shares(const std::vector<double>& in_turn,
                          milliseconds until) {
    probe_limits limits;
    limits.rate = 1;
    limits.settle = seconds(3);
    probe_budget budget(limits);
    budget.on_share(0.1, time_point{});
    budget.on_owned("b0", time_point{});
    std::size_t turn = 0;
    for (milliseconds at(3000); at <= until; at += milliseconds(500)) {
        budget.on_share(in_turn[turn++ % in_turn.size()], time_point{} + at);
    }
    return budget;
}

bool may_probe(const std::vector<double>& in_turn, milliseconds at) {
    auto budget = after_shares(in_turn, at);
    return budget.try_probe("b0", time_point{} + at);
}

} // namespace

// Links open one after the other. If each began the wait for a wider share
// anew, a fleet in which some always do would keep to the narrowest.
TEST_CASE("A share that widens step by step counts step by step") {
    const std::vector<double> widening = {0.50, 0.51, 0.52, 0.53, 0.54, 0.55,
                                          0.56, 0.57, 0.58, 0.59, 0.60};
    // A tenth of a probe a second from 3 s on, a half from 6 s on.
    REQUIRE_FALSE(may_probe(widening, milliseconds(7300)));
    REQUIRE(may_probe(widening, milliseconds(7500)));
}

TEST_CASE("A share that swings counts at its lowest") {
    REQUIRE_FALSE(may_probe({0.9, 0.5}, milliseconds(7300)));
    REQUIRE(may_probe({0.9, 0.5}, milliseconds(7500)));
    REQUIRE_FALSE(may_probe({0.9, 0.5, 0.1}, milliseconds(12900)));
    REQUIRE(may_probe({0.9, 0.5, 0.1}, milliseconds(13100)));
}

TEST_CASE("A share that shrinks counts at once") {
    auto budget = after_shares({0.9}, milliseconds(7000));
    const time_point at{seconds(7)};
    REQUIRE(budget.try_probe("b0", at));
    budget.on_share(0.2, at);
    REQUIRE_FALSE(budget.try_probe("b0", at + milliseconds(4900)));
    REQUIRE(budget.try_probe("b0", at + milliseconds(5100)));
}
