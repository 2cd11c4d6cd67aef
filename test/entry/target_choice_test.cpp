#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "entry/target_choice.hpp"

using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

constexpr std::size_t instances = 17;

std::vector<target_choice> fleet() {
    std::vector<target_choice> made;
    for (std::size_t i = 0; i < instances; ++i) {
        made.emplace_back("entry-" + std::to_string(i));
    }
    return made;
}

double share_of_first(const std::vector<route_target>& targets) {
    double total = 0;
    for (const auto& each : targets) {
        total += each.weight;
    }
    return targets.front().weight / total;
}

// By how much the part of the first target is off its share, at worst, in any
// run of that many requests.
double farthest_off(const std::vector<double>& misses, std::size_t run) {
    double farthest = 0;
    for (std::size_t i = 0; i + run <= misses.size(); ++i) {
        const auto begin = misses.begin() + static_cast<long>(i);
        const double sum =
            std::accumulate(begin, begin + static_cast<long>(run), 0.0);
        farthest = std::max(farthest, std::abs(sum) / static_cast<double>(run));
    }
    return farthest;
}

// Each instance gets one request of the route in each second; between two of
// them the targets have changed four times.
double farthest_off(const std::vector<std::vector<route_target>>& successive) {
    constexpr std::size_t seconds = 60;
    constexpr std::size_t run = 200;
    auto all = fleet();
    std::vector<double> misses; // of the first target, request by request
    for (std::size_t n = 0; n < seconds * instances; ++n) {
        const auto& now = successive[(n * 4 / instances) % successive.size()];
        const bool first =
            all[n % instances].next("r", now) == now.front().service;
        misses.push_back((first ? 1.0 : 0.0) - share_of_first(now));
    }
    return farthest_off(misses, run);
}

} // namespace

TEST_CASE("weights that change with every request are kept to") {
    // The operator shifts a route's weights four times a second, and an
    // instance sees few requests of it in that time. Begun anew with every
    // change, each round would give its first turn to the heaviest target.
    CHECK(farthest_off({{{"a", 6}, {"b", 4}},
                        {{"a", 7}, {"b", 3}},
                        {{"a", 5}, {"b", 4}}}) < 0.05);
}

TEST_CASE("targets that come and go leave the others their shares") {
    CHECK(farthest_off({{{"a", 8}, {"b", 2}},
                        {{"a", 8}, {"c", 2}},
                        {{"a", 8}, {"b", 1}, {"d", 1}},
                        {{"a", 8}, {"c", 1}, {"b", 1}},
                        {{"a", 8}, {"d", 2}}}) < 0.05);
}

TEST_CASE("instances that start together do not all begin with the heaviest") {
    // A route is new on all instances at once. If each gave its first request
    // to the heaviest target, the others would get none for a while.
    const std::vector<route_target> targets = {{"a", 7}, {"b", 2}, {"c", 1}};
    constexpr std::size_t routes = 40;
    auto all = fleet();
    std::map<std::string, double> got;
    for (std::size_t route = 0; route < routes; ++route) {
        for (auto& each : all) {
            got[each.next(std::to_string(route), targets)] +=
                1.0 / (routes * instances);
        }
    }
    CHECK(std::abs(got["a"] - 0.7) < 0.05);
    CHECK(std::abs(got["b"] - 0.2) < 0.05);
    CHECK(std::abs(got["c"] - 0.1) < 0.05);
}

TEST_CASE("a target without weight gets nothing") {
    // It was behind its share when the operator took its weight away.
    target_choice choice("entry-0");
    for (int n = 0; n < 100; ++n) {
        choice.next("r", {{"a", 5}, {"b", 4}, {"c", 3}});
        CHECK(choice.next("r", {{"a", 5}, {"b", 0}, {"c", 3}}) != "b");
        CHECK(choice.next("r", {{"a", 0}, {"b", 4}, {"c", 0}}) == "b");
    }
}

TEST_CASE("one instance divides each stretch of requests evenly") {
    const std::vector<route_target> targets = {{"a", 7}, {"b", 2}, {"c", 1}};
    target_choice choice("entry-0");
    std::map<std::string, double> behind;
    for (int n = 0; n < 1000; ++n) {
        for (const auto& each : targets) {
            behind[each.service] += each.weight / 10.0;
        }
        behind[choice.next("r", targets)] -= 1;
        for (const auto& each : behind) {
            // Two moments of a round, neither a whole request off.
            CHECK(std::abs(each.second) < 2);
        }
    }
}

TEST_CASE("routes that are gone are forgotten, those that stay are not") {
    // Routes with several targets come and go for months.
    target_choice choice("entry-0");
    const std::vector<route_target> targets = {{"a", 1}, {"b", 1}};
    std::string last = choice.next("stays", targets);
    std::size_t most = 0;
    for (int revision = 0; revision < 2000; ++revision) {
        route stays;
        stays.kind.name = "stays";
        route added;
        added.kind.name = std::to_string(revision);
        choice.follow(route_table({stays, added}));
        choice.next(added.kind.name, targets);
        const std::string now = choice.next("stays", targets);
        CHECK(now != last);
        last = now;
        most = std::max(most, choice.routes_known());
    }
    CHECK(most < 100);
}
