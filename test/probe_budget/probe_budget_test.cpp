#include <catch2/catch.hpp>

#include "probe_budget/probe_simulation.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;
using probe_model::probe_rules;
using probe_model::probe_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

standin::schedule_run model_with(const probe_rules& rules) {
    return [rules](const standin::schedule& steps) {
        return probe_simulation(rules).run(steps);
    };
}

} // namespace

// Guards against probe rates above the budget: while instances restart and
// network partitions come and go, two instances may both consider themselves
// the owner of a backend server and both probe it. On a backend server with two
// slots every additional probe makes a customer wait.
TEST_CASE("Probes stay within the budget while ownership changes") {
    std::size_t probes = 0;
    const auto run = [&](const standin::schedule& steps) {
        probe_simulation simulation({});
        auto violated = simulation.run(steps);
        probes += simulation.probes();
        return violated;
    };
    REQUIRE(standin::explore("probe budget", run));
    std::cout << "  probes: " << probes << '\n';
    REQUIRE(probes > 0);
}

// Two rules keep the budget: a new owner waits for the previous one, and an
// owner that reaches only some instances probes less often. This test checks
// that the simulation detects when either rule is missing.
TEST_CASE("The simulation detects broken probe budgets") {
    const std::string over = "more probes than the budget in a window";
    probe_rules no_waiting;
    no_waiting.new_owner_waits = false;
    REQUIRE(standin::caught_after("new owners do not wait",
                                  model_with(no_waiting), over));
    probe_rules full_rate;
    full_rate.rate_follows_share = false;
    REQUIRE(standin::caught_after("partitioned owners use the full rate",
                                  model_with(full_rate), over));
}

TEST_CASE("A new owner waits for one period and the settling time") {
    probe_limits limits;
    limits.rate = 0.5;
    limits.settling_time = seconds(3);
    probe_budget budget(limits);
    const time_point start{};
    budget.set_reachable_share(1, start);
    budget.on_ownership_gained("b0", start);
    REQUIRE_FALSE(budget.try_probe("b0", start + milliseconds(4999)));
    REQUIRE(budget.next_probe_time("b0", start) <= start + milliseconds(5001));
    REQUIRE(budget.try_probe("b0", start + milliseconds(5001)));
    REQUIRE_FALSE(budget.try_probe("b0", start + milliseconds(7000)));
    REQUIRE(budget.try_probe("b0", start + milliseconds(7002)));
    REQUIRE_FALSE(budget.try_probe("b1", start + seconds(60)));
}

TEST_CASE("A rate of 0 allows no probe") {
    probe_limits limits;
    limits.rate = 0;
    probe_budget budget(limits);
    budget.set_reachable_share(1, time_point{});
    budget.on_ownership_gained("b0", time_point{});
    REQUIRE_FALSE(budget.try_probe("b0", time_point{} + seconds(1000)));
    REQUIRE(budget.next_probe_time("b0", time_point{}) == time_point::max());
}

// Guards against probing that never starts: the rate is passed in again with
// every view of the members. If an unchanged rate restarted the waiting period,
// no instance would ever probe.
TEST_CASE("Setting the same rate again changes nothing") {
    probe_limits limits;
    limits.rate = 0.5;
    limits.settling_time = seconds(3);
    probe_budget budget(limits);
    const time_point start{};
    budget.set_reachable_share(1, start);
    budget.on_ownership_gained("b0", start);
    for (int second = 0; second < 5; ++second) {
        budget.change_rate(0.5, start + seconds(second));
        budget.set_reachable_share(1, start + seconds(second));
    }
    REQUIRE(budget.try_probe("b0", start + milliseconds(5001)));
}

TEST_CASE("A new rate discards the collected tokens") {
    probe_limits limits;
    limits.rate = 0.5;
    limits.settling_time = seconds(0);
    probe_budget budget(limits);
    const time_point start{};
    budget.set_reachable_share(1, start);
    budget.on_ownership_gained("b0", start);
    budget.change_rate(0.1, start + seconds(10));
    REQUIRE_FALSE(budget.try_probe("b0", start + seconds(19)));
    REQUIRE(budget.try_probe("b0", start + milliseconds(20001)));
}

namespace {

// Returns a budget of one probe per second for which the share is 0.1 during
// the first three seconds, the settling time. After that the share changes
// every half second, cycling through `in_turn`, until `until`.
probe_budget after_shares(const std::vector<double>& in_turn,
                          milliseconds until) {
    probe_limits limits;
    limits.rate = 1;
    limits.settling_time = seconds(3);
    probe_budget budget(limits);
    budget.set_reachable_share(0.1, time_point{});
    budget.on_ownership_gained("b0", time_point{});
    std::size_t turn = 0;
    for (milliseconds at(3000); at <= until; at += milliseconds(500)) {
        budget.set_reachable_share(in_turn[turn++ % in_turn.size()],
                                   time_point{} + at);
    }
    return budget;
}

bool may_probe(const std::vector<double>& in_turn, milliseconds at) {
    auto budget = after_shares(in_turn, at);
    return budget.try_probe("b0", time_point{} + at);
}

} // namespace

// Guards against a share that stays at its lowest value: links open one after
// the other, and each increases the share. If each increase restarted the
// waiting period of those before it, a fleet in which links keep opening would
// never use a larger share.
TEST_CASE("Each step of a growing share takes effect after its own wait") {
    const std::vector<double> growing = {0.50, 0.51, 0.52, 0.53, 0.54, 0.55,
                                         0.56, 0.57, 0.58, 0.59, 0.60};
    // 0.1 probes per second from 3 s on, 0.5 probes per second from 6 s on.
    REQUIRE_FALSE(may_probe(growing, milliseconds(7300)));
    REQUIRE(may_probe(growing, milliseconds(7500)));
}

TEST_CASE("The lowest value of an oscillating share is in effect") {
    REQUIRE_FALSE(may_probe({0.9, 0.5}, milliseconds(7300)));
    REQUIRE(may_probe({0.9, 0.5}, milliseconds(7500)));
    REQUIRE_FALSE(may_probe({0.9, 0.5, 0.1}, milliseconds(12900)));
    REQUIRE(may_probe({0.9, 0.5, 0.1}, milliseconds(13100)));
}

TEST_CASE("A smaller share takes effect at once") {
    auto budget = after_shares({0.9}, milliseconds(7000));
    const time_point at{seconds(7)};
    REQUIRE(budget.try_probe("b0", at));
    budget.set_reachable_share(0.2, at);
    REQUIRE_FALSE(budget.try_probe("b0", at + milliseconds(4900)));
    REQUIRE(budget.try_probe("b0", at + milliseconds(5100)));
}
