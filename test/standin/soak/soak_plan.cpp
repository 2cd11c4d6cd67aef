#include "standin/soak/soak_plan.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace waxwingvale::standin {

namespace {

using std::chrono::milliseconds;

constexpr auto kinds = static_cast<std::size_t>(fault_kind::count_of_kinds);
// Those that every plan may have.
constexpr auto usual_kinds =
    static_cast<std::size_t>(fault_kind::limit_backend);

constexpr std::array<const char*, kinds> kind_names = {
    "kill_instance",  "stop_instance",  "pause_instance", "kill_backend",
    "pause_backend",  "slow_backend",   "platform_down",  "platform_slow",
    "platform_stale", "peers_cut",      "peers_reset",    "peers_slow",
    "backend_cut",    "backend_silent", "backend_reset",  "publish",
    "limit_backend",  "tire_backend"};

// std::uniform_int_distribution differs between libraries; a seed must not.
class dice {
public:
    explicit dice(std::uint64_t seed) : random_(seed) {}
    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
    std::uint64_t between(std::uint64_t least, std::uint64_t most) {
        return least + below(most - least + 1);
    }

private:
    std::mt19937_64 random_;
};

planned_fault any_fault(dice& roll, milliseconds length) {
    planned_fault fault;
    const auto ms = static_cast<std::uint64_t>(length.count());
    fault.at = milliseconds(roll.between(ms / 10, ms * 8 / 10));
    fault.lasts = milliseconds(roll.between(100, 2500));
    fault.kind = static_cast<fault_kind>(roll.below(usual_kinds));
    fault.target = roll.below(1000);
    return fault;
}

// The same thing again and again, shortly after one another.
void add_series(dice& roll, std::vector<planned_fault>& to) {
    auto next = to.back();
    const auto repeats = roll.between(1, 3);
    for (std::uint64_t i = 0; i < repeats; ++i) {
        next.at += milliseconds(roll.between(50, 900));
        next.target += roll.below(2);
        to.push_back(next);
    }
}

void sort_by_begin(soak_plan& plan) {
    std::stable_sort(plan.faults.begin(), plan.faults.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
}

} // namespace

const char* to_string(fault_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

bool soak_plan::may_lose_answers() const {
    return std::any_of(faults.begin(), faults.end(),
                       [](const planned_fault& fault) {
                           return fault.kind == fault_kind::kill_instance ||
                                  fault.kind == fault_kind::stop_instance ||
                                  fault.kind == fault_kind::pause_instance;
                       });
}

bool soak_plan::may_lose_lines() const {
    return std::any_of(faults.begin(), faults.end(),
                       [](const planned_fault& fault) {
                           return fault.kind == fault_kind::kill_instance;
                       });
}

soak_plan make_plan(std::uint64_t seed, milliseconds length) {
    dice roll(seed);
    soak_plan plan;
    plan.seed = seed;
    plan.length = length;
    plan.entry_instances = static_cast<unsigned>(roll.between(2, 5));
    plan.backend_servers = static_cast<unsigned>(roll.between(2, 6));
    plan.calls_per_second = static_cast<unsigned>(roll.between(40, 250));
    plan.write_fraction = static_cast<double>(roll.between(1, 9)) / 10;
    const auto faults = roll.between(3, 9);
    for (std::uint64_t i = 0; i < faults; ++i) {
        plan.faults.push_back(any_fault(roll, length));
        if (roll.below(3) == 0) {
            add_series(roll, plan.faults);
        }
    }
    sort_by_begin(plan);
    return plan;
}

void add_terms(soak_plan& plan) {
    constexpr std::uint64_t other_draws = 0x7e;
    dice roll(plan.seed + (other_draws << 32U));
    const auto faults = roll.between(2, 5);
    for (std::uint64_t i = 0; i < faults; ++i) {
        auto fault = any_fault(roll, plan.length);
        fault.kind = roll.below(2) == 0 ? fault_kind::limit_backend
                                        : fault_kind::tire_backend;
        plan.faults.push_back(fault);
        if (roll.below(3) == 0) {
            add_series(roll, plan.faults);
        }
    }
    sort_by_begin(plan);
}

std::string to_string(const soak_plan& plan) {
    std::ostringstream text;
    text << "seed " << plan.seed << ": " << plan.entry_instances
         << " entry instances, " << plan.backend_servers << " backend servers, "
         << plan.calls_per_second << " calls/s, writes " << plan.write_fraction
         << '\n';
    for (const auto& fault : plan.faults) {
        text << "  at " << fault.at.count() << " ms for " << fault.lasts.count()
             << " ms: " << to_string(fault.kind) << ' ' << fault.target << '\n';
    }
    return text.str();
}

} // namespace waxwingvale::standin
