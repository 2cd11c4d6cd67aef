#include "entry/service_policies.hpp"

namespace waxwingvale::entry {

service_policies::service_policies() : retries_(decision::retry_limits{}) {}

void service_policies::follow(const service_budgets& budgets) {
    retries_.change_fraction(budgets.retries);
    hedge_fraction_ = budgets.hedges;
    for (auto& entry : hedges_) {
        entry.second.change_fraction(budgets.hedges);
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
