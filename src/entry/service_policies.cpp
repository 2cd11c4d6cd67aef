#include "entry/service_policies.hpp"

#include <iterator>
#include <unordered_set>

namespace waxwingvale::entry {

namespace {

// Routes that come and go all day would fill the memory; so many are kept
// whatever the configuration names.
constexpr std::size_t classes_kept = 1000;

} // namespace

service_policies::service_policies() : retries_(decision::retry_limits{}) {}

void service_policies::follow(const service& of, const route_table* routes) {
    retries_.change_fraction(of.budgets.retries);
    hedge_fraction_ = of.budgets.hedges;
    for (auto& entry : hedges_) {
        entry.second.change_fraction(hedge_fraction_);
    }
    if (hedges_.size() >= classes_kept) {
        forget_all_but(of, routes);
    }
}

void service_policies::forget_all_but(const service& of,
                                      const route_table* routes) {
    std::unordered_set<std::string> named;
    for (const auto& each : of.classes) {
        named.insert(each.name);
    }
    if (routes != nullptr) {
        for (const auto& each : routes->all()) {
            named.insert(each.kind.name);
        }
    }
    for (auto it = hedges_.begin(); it != hedges_.end();) {
        it = named.count(it->first) == 0 ? hedges_.erase(it) : std::next(it);
    }
}

decision::hedge_policy&
service_policies::hedges(const std::string& request_class) {
    const auto found = hedges_.find(request_class);
    if (found != hedges_.end()) {
        return found->second;
    }
    decision::hedge_limits limits;
    limits.fraction = hedge_fraction_;
    return hedges_.emplace(request_class, decision::hedge_policy(limits))
        .first->second;
}

} // namespace waxwingvale::entry
