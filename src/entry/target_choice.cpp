#include "entry/target_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <numeric>
#include <unordered_set>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::entry {

namespace {

// Points of a route's round at which an instance may begin.
constexpr std::uint64_t beginnings = 256;

// Routes that are gone are kept while they are no more than those that are
// there, and so many.
constexpr std::size_t gone_routes_kept = 64;

} // namespace

target_choice::target_choice(std::string self) : self_(std::move(self)) {}

const std::string&
target_choice::next(const std::string& route,
                    const std::vector<route_target>& targets) {
    candidates weighty;
    for (const auto& each : targets) {
        if (each.weight > 0) {
            weighty.push_back(&each);
        }
    }
    if (weighty.size() < 2) {
        return weighty.empty() ? targets.front().service
                               : weighty.front()->service;
    }
    auto& of = routes_[route];
    const bool first = of.empty();
    follow(of, weighty);
    if (first) {
        const auto self = decision::stable_hash(self_);
        const auto begin = decision::stable_hash(route, self) % beginnings;
        for (std::uint64_t turn = 0; turn < begin; ++turn) {
            take_turn(of, weighty);
        }
    }
    return take_turn(of, weighty).service;
}

// What targets that have left were behind goes to those that have come, or
// else to all.
void target_choice::follow(turns& of, const candidates& targets) {
    const bool same =
        std::equal(of.begin(), of.end(), targets.begin(), targets.end(),
                   [](const arrears& known, const route_target* target) {
                       return known.service == target->service;
                   });
    if (same) {
        return;
    }
    turns now;
    std::vector<std::size_t> heirs;
    double left = 0;
    for (const auto* target : targets) {
        const auto known =
            std::find_if(of.begin(), of.end(), [&](const arrears& each) {
                return each.service == target->service;
            });
        if (known == of.end()) {
            heirs.push_back(now.size());
        }
        now.push_back(known == of.end() ? arrears{target->service, 0} : *known);
        left -= now.back().requests;
    }
    if (heirs.empty()) {
        heirs.resize(now.size());
        std::iota(heirs.begin(), heirs.end(), 0);
    }
    for (const auto heir : heirs) {
        now[heir].requests += left / static_cast<double>(heirs.size());
    }
    of = std::move(now);
}

const route_target& target_choice::take_turn(turns& of,
                                             const candidates& targets) {
    double total = 0;
    for (const auto* target : targets) {
        total += target->weight;
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        of[i].requests += targets[i]->weight / total;
    }
    const auto furthest = std::max_element(
        of.begin(), of.end(), [](const arrears& a, const arrears& b) {
            return a.requests < b.requests;
        });
    furthest->requests -= 1;
    return *targets[static_cast<std::size_t>(furthest - of.begin())];
}

void target_choice::follow(const route_table& routes) {
    const auto& all = routes.all();
    if (routes_.size() <= 2 * all.size() + gone_routes_kept) {
        return;
    }
    std::unordered_set<std::string> there;
    for (const auto& each : all) {
        there.insert(each.kind.name);
    }
    for (auto it = routes_.begin(); it != routes_.end();) {
        it = there.count(it->first) == 0 ? routes_.erase(it) : std::next(it);
    }
}

} // namespace waxwingvale::entry
