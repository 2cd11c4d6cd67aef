#include "waxwing_replay/worth_ledger.hpp"

#include <algorithm>

namespace waxwingvale::replay {

namespace {

constexpr duration window{2000000};
// Calls of fewer windows than this say nothing of the worst ones.
constexpr std::size_t worst_count = 2;

} // namespace

worth_ledger::account& worth_ledger::class_account(std::size_t work) {
    if (by_class_.size() <= work) {
        by_class_.resize(work + 1);
    }
    return by_class_[work];
}

worth_ledger::account& worth_ledger::window_account(time_point arrived) {
    return by_window_[arrived.time_since_epoch() / window];
}

void worth_ledger::owed(std::size_t work, time_point arrived, double worth) {
    all_.owed += worth;
    class_account(work).owed += worth;
    window_account(arrived).owed += worth;
}

void worth_ledger::earned(std::size_t work, time_point arrived, double worth) {
    all_.earned += worth;
    class_account(work).earned += worth;
    window_account(arrived).earned += worth;
}

double worth_ledger::share() const {
    return all_.share();
}

double worth_ledger::of_class(std::size_t work) const {
    return work < by_class_.size() ? by_class_[work].share() : 1;
}

double worth_ledger::worst_class() const {
    double worst = 1;
    for (const account& each : by_class_) {
        worst = std::min(worst, each.share());
    }
    return worst;
}

double worth_ledger::worst_windows() const {
    std::vector<double> shares;
    shares.reserve(by_window_.size());
    for (const auto& each : by_window_) {
        shares.push_back(each.second.share());
    }
    if (shares.size() < worst_count) {
        return share();
    }
    std::sort(shares.begin(), shares.end());
    return (shares[0] + shares[1]) / static_cast<double>(worst_count);
}

} // namespace waxwingvale::replay
