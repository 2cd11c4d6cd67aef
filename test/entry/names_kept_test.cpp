#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "entry/caller_patience.hpp"
#include "entry/service_policies.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

route route_to_desk(const std::string& name) {
    route made;
    made.kind.name = name;
    made.targets = {{"desk", 1}};
    return made;
}

service desk() {
    service of;
    of.name = "desk";
    of.budgets.retries = 0.1;
    of.budgets.hedges = 0.05;
    return of;
}

constexpr int changes = 5000;
constexpr std::size_t bound = 1100;

} // namespace

TEST_CASE("budgets and delays outlive configurations that keep them") {
    // Filled up by each newer configuration, a budget would bound nothing.
    service_policies policies;
    const service of = desk();
    policies.follow(of, nullptr);
    while (policies.retries().try_spend()) {
    }
    for (int i = 0; i < 100; ++i) {
        policies.hedges("look").on_latency(20ms);
    }
    const auto delay = policies.hedges("look").delay();
    for (int i = 0; i < 100; ++i) {
        policies.follow(of, nullptr);
    }
    CHECK(!policies.retries().try_spend());
    CHECK(policies.hedges("look").delay() == delay);
}

TEST_CASE("a service forgets the delays of routes that are long gone") {
    service_policies policies;
    std::size_t most = 0;
    for (int i = 0; i < changes; ++i) {
        const auto name = std::to_string(i);
        const route_table routes({route_to_desk("stays"), route_to_desk(name)});
        policies.follow(desk(), &routes);
        policies.hedges("stays").on_latency(20ms);
        policies.hedges(name).on_latency(20ms);
        most = std::max(most, policies.classes_known());
    }
    CHECK(most < bound);
    // Not begun anew: what it learned is there.
    CHECK(policies.hedges("stays").delay() < 50ms);
}

TEST_CASE("callers' patience is forgotten with the routes that are gone") {
    caller_patience patience;
    std::size_t most = 0;
    time_point now{1h};
    for (int i = 0; i < changes; ++i) {
        patience.spent_before("stays", 1000ms, now);
        patience.spent_before(std::to_string(i), 1000ms, now);
        now += 250ms;
        most = std::max(most, patience.classes_known());
    }
    CHECK(most < bound);
    CHECK(patience.spent_before("stays", 400ms, now) == 600ms);
}
