#include "waxwing_replay/run_statistics.hpp"

#include <algorithm>
#include <map>

namespace waxwingvale::replay {

void run_statistics::answered(duration latency, bool in_time) {
    ended(call_end::answered);
    in_time_ += in_time ? 1 : 0;
    latencies_.push_back(latency);
}

double run_statistics::quantile_ms(const std::vector<duration>& sorted,
                                   double q) const {
    if (sorted.empty()) {
        return 0;
    }
    const auto place =
        static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[place].count()) / 1000.0;
}

double run_statistics::come_back_spread() const {
    constexpr duration bin{100000};
    if (come_backs_.empty()) {
        return 0;
    }
    std::map<std::int64_t, std::size_t> bins;
    for (const time_point when : come_backs_) {
        ++bins[when.time_since_epoch() / bin];
    }
    std::size_t busiest = 0;
    for (const auto& counted : bins) {
        busiest = std::max(busiest, counted.second);
    }
    const auto span =
        static_cast<double>(bins.rbegin()->first - bins.begin()->first + 1);
    return static_cast<double>(busiest) * span /
           static_cast<double>(come_backs_.size());
}

void run_statistics::fill(run_figures& figures, double capacity,
                          duration measured) const {
    std::vector<duration> sorted = latencies_;
    std::sort(sorted.begin(), sorted.end());
    figures.p50_ms = quantile_ms(sorted, 0.5);
    figures.p99_ms = quantile_ms(sorted, 0.99);
    figures.p999_ms = quantile_ms(sorted, 0.999);
    const auto answered_calls = static_cast<double>(count(call_end::answered));
    const auto late = static_cast<double>(count(call_end::late));
    const auto refused_calls = static_cast<double>(count(call_end::refused));
    const auto failed_calls = static_cast<double>(count(call_end::failed));
    const double calls =
        std::max(answered_calls + late + refused_calls + failed_calls, 1.0);
    const double seconds = static_cast<double>(measured.count()) / 1e6;
    figures.goodput = answered_calls / calls;
    figures.in_time = static_cast<double>(in_time_) / calls;
    figures.worth = worth_.share();
    figures.worst_windows = worth_.worst_windows();
    figures.worst_class = worth_.worst_class();
    for (std::size_t work = 0; work < worth_.classes(); ++work) {
        figures.worth_by_class.push_back(worth_.of_class(work));
    }
    figures.of_capacity = answered_calls / (capacity * seconds);
    figures.refused = refused_calls / calls;
    figures.failed = (late + failed_calls) / calls;
    figures.retries = static_cast<double>(retries_) / calls;
    figures.hedges = static_cast<double>(hedges_) / calls;
    figures.messages = static_cast<double>(messages_) / calls;
    figures.spread = come_back_spread();
}

} // namespace waxwingvale::replay
