#include <waxwingvale/decision/attempt_budget.hpp>

#include <algorithm>

namespace waxwingvale::decision {

attempt_budget::attempt_budget(double fraction, double burst)
    : fraction_(fraction), burst_(burst), tokens_(burst) {}

void attempt_budget::on_first_attempt() {
    add(fraction_);
}

bool attempt_budget::try_spend() {
    if (!can_spend()) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void attempt_budget::refund() {
    add(1.0);
}

void attempt_budget::add(double tokens) {
    tokens_ = std::min(burst_, tokens_ + tokens);
}

} // namespace waxwingvale::decision
