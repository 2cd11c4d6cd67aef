// Choice among free slots, of slot_table.

#include <algorithm>
#include <cmath>
#include <limits>
#include <waxwingvale/decision/stable_hash.hpp>

#include "decision/slot_table.hpp"

namespace waxwingvale::decision {

namespace {

// Additional delay before a request that must not run twice is used as a sample
// of a failing server, where it may end with an unknown outcome. Within this
// time a retriable request may be the sample instead.
constexpr duration write_sample_delay{2000000};

// Additional service time that callers do not notice.
constexpr duration unnoticed_delay{2000};

bool suits(const slot_requirements& requirements, const backend_slots& server,
           time_point now) {
    const bool rests = !requirements.for_peer && server.limits().rests(now);
    return !rests && (requirements.request == nullptr ||
                      may_run_on(*requirements.request, server));
}

// Approximates the standard normal distribution function by a logistic
// function, which is cheap and within 0.01 of it.
double probability_below(double deviations) {
    constexpr double logistic_scale = 1.702;
    return 1.0 / (1.0 + std::exp(-logistic_scale * deviations));
}

} // namespace

// Whether failing and unresponsive servers are excluded. If they are the
// majority, they are used: the fault is more likely in the requests or in
// something that all servers depend on.
bool slot_table::excludes_failing() const {
    std::size_t failing = 0;
    std::size_t serving = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        serving += server.limits().unavailable() ? 0 : 1;
        failing += !server.limits().unavailable() && server.excluded() ? 1 : 0;
    }
    return failing * 2 <= serving;
}

// Only where a sample may end with an unknown outcome a request that must not
// run twice waits for a retriable one to be it. A straggler answers, and a
// server that has asked for rest refuses before it runs anything.
bool slot_table::sample_is_due(const backend_slots& server,
                               const slot_requirements& requirements,
                               time_point now) const {
    const bool waits =
        !requirements.may_sample && server.health().may_lose_requests();
    return server.health().sample_due(waits ? now - write_sample_delay : now);
}

bool slot_table::admits(const backend_slots& server,
                        const slot_requirements& requirements,
                        time_point now) const {
    if (server.unresponsive()) {
        return false; // probes continue and show when it is back
    }
    if (server.health().failing()) {
        return sample_is_due(server, requirements, now);
    }
    if (!server.health().straggler() || current_totals().needs_stragglers ||
        sample_is_due(server, requirements, now)) {
        return true;
    }
    // A straggler is worth using if waiting for the other servers would take
    // longer than its additional service time, or if nobody notices that: the
    // time of very short work varies by far more than the ratio of stragglers.
    const double extra = (server.health().slowness() - 1.0) *
                         static_cast<double>(requirements.typical_time.count());
    const auto accepted = std::max(requirements.backlog, unnoticed_delay);
    return static_cast<double>(accepted.count()) > extra;
}

double slot_table::contention_log(const backend_slots& server) const {
    return contention_.log_slowdown(server.in_flight() + 1,
                                    server.configured());
}

double slot_table::expected_log_slowdown(index place) const {
    const backend_slots& server = servers_[place];
    const double reported =
        server.last_load() ? server.last_load()->load.slowness : 1.0;
    const double residual =
        server.health().slow() ? server.health().slowness() : 1.0;
    return contention_log(server) + std::log(reported * residual);
}

// Returns the probability that the slowness in the last report is still valid.
double slot_table::report_validity(const backend_slots& server,
                                   time_point now) const {
    return server.last_load() ? slowness_model_.probability_unchanged(
                                    now - server.last_load()->at)
                              : 0.0;
}

double slot_table::expected_slowness(const backend_slots& server,
                                     double report_valid) const {
    const double reported =
        server.last_load() ? server.last_load()->load.slowness : 1.0;
    return report_valid * reported +
           (1.0 - report_valid) * slowness_model_.mean_slowness();
}

// Computes and caches the probability that an answer is in time. Most of
// hundreds of servers report the same slowness and run the same number of
// requests, so that each probability is computed once per choice and not once
// per server. This reduces the CPU time for ten seconds of 268 servers at up
// to 1.6 times their capacity from 4.4 s to 1.9 s (waxwing-replay,
// mixed-shared-large, rush).
class slot_table::in_time_estimator {
public:
    in_time_estimator(const work_forecast& forecast,
                      const slowness_model& slowness)
        : forecast_(forecast), slowness_model_(slowness) {}

    // If the work takes longer than typical by a factor exp(extra_log).
    double probability(double extra_log) {
        return cached(at_reported_slowness_, extra_log,
                      [this](double extra) { return in_time(extra); });
    }

    // If the slowness is unknown and distributed as in the slowness model, and
    // other influences slow the work down by a factor exp(extra_log).
    double probability_at_unknown_slowness(double extra_log) {
        return cached(at_unknown_slowness_, extra_log, [this](double extra) {
            double sum = 0;
            for (const slowness_model::level& level :
                 slowness_model_.levels()) {
                sum += level.share > negligible_share
                           ? level.share * in_time(extra + level.log_slowness)
                           : 0.0;
            }
            return sum;
        });
    }

private:
    static constexpr double negligible_share = 0.01;
    // Slow servers each have a different slowness. With more cached values, a
    // look-up would take longer than the computation.
    static constexpr std::size_t max_cached = 8;

    struct cached_value {
        double extra_log;
        double probability;
    };

    double in_time(double extra_log) const {
        return probability_below(
            (forecast_.time_left_log - forecast_.typical_log - extra_log) /
            forecast_.log_spread);
    }

    template <typename Work>
    static double cached(std::vector<cached_value>& values, double extra_log,
                         Work compute) {
        for (const cached_value& each : values) {
            if (each.extra_log == extra_log) {
                return each.probability;
            }
        }
        const double probability = compute(extra_log);
        if (values.size() < max_cached) {
            values.push_back({extra_log, probability});
        }
        return probability;
    }

    const work_forecast& forecast_;
    const slowness_model& slowness_model_;
    std::vector<cached_value> at_reported_slowness_;
    std::vector<cached_value> at_unknown_slowness_;
};

// Returns the probability that an answer is in time if the work starts on the
// server now. The slowness is the last reported one with probability
// report_valid, and otherwise distributed as in the slowness model.
double slot_table::in_time_probability(const backend_slots& server,
                                       double report_valid,
                                       in_time_estimator& estimator) const {
    double extra = contention_log(server);
    if (server.health().slow()) {
        extra += std::log(server.health().slowness());
    }
    double probability =
        (1.0 - report_valid) * estimator.probability_at_unknown_slowness(extra);
    if (server.last_load()) {
        probability +=
            report_valid *
            estimator.probability(extra + server.last_load()->log_slowness);
    }
    return probability;
}

double slot_table::time_cost(index place,
                             const slot_requirements& requirements) const {
    const backend_slots& server = servers_[place];
    const double load = static_cast<double>(server.in_flight()) /
                        static_cast<double>(std::max(server.limit(), 1U));
    const double slowness =
        server.health().slow() ? server.health().slowness() : 1.0;
    const auto typical = static_cast<double>(requirements.typical_time.count());
    const auto crossing_time =
        static_cast<double>(policy_.other_data_centre_cost.count());
    const bool is_local = server.data_centre() == requirements.data_centre;
    return typical * slowness *
               contention_.slowdown(server.in_flight() + 1,
                                    server.configured()) *
               (1.0 + policy_.load_cost * load) +
           (is_local ? 0.0 : crossing_time);
}

// Returns the expected loss as a fraction of the answer's value: by a late
// answer, by traffic between data centres, and by using more server time than
// on an idle server of normal speed.
double slot_table::expected_loss(const backend_slots& server,
                                 const slot_requirements& requirements,
                                 double in_time, double report_valid) const {
    const bool is_local = server.data_centre() == requirements.data_centre;
    const double load = static_cast<double>(server.in_flight()) /
                        static_cast<double>(std::max(server.limit(), 1U));
    const double extra_time =
        expected_slowness(server, report_valid) *
            contention_.slowdown(server.in_flight() + 1, server.configured()) -
        1.0;
    return 1.0 - in_time + (is_local ? 0.0 : requirements.crossing_loss) +
           policy_.longer_work_loss * (extra_time + policy_.load_cost * load);
}

double slot_table::cost(index place, const slot_requirements& requirements,
                        in_time_estimator* estimator, time_point now) const {
    const backend_slots& server = servers_[place];
    if (server.health().needs_sampling() &&
        sample_is_due(server, requirements, now)) {
        return 0; // preferred; otherwise its recovery would not be noticed
    }
    if (estimator == nullptr) {
        return time_cost(place, requirements);
    }
    const double report_valid = report_validity(server, now);
    const double in_time =
        in_time_probability(server, report_valid, *estimator);
    const double lost =
        expected_loss(server, requirements, in_time, report_valid);
    // If the loss is too high, the request waits for a better slot instead. The
    // tolerated loss increases with the time that it has waited.
    return lost > requirements.tolerated_loss
               ? std::numeric_limits<double>::infinity()
               : lost;
}

bool slot_table::none_working() const {
    return working_slots() == 0;
}

// Returns the free slots up to the concurrency with the highest throughput.
unsigned slot_table::usable_slots(const backend_slots& server,
                                  time_point now) const {
    const unsigned best = contention_.best_concurrency(server.configured());
    return server.in_flight() >= best ? 0 : server.free_slots(now);
}

// Whether there is a working server in the data centre.
bool slot_table::any_working_in(const std::string& data_centre) const {
    return std::any_of(usable_.begin(), usable_.end(), [&](index place) {
        const backend_slots& server = servers_[place];
        return server.data_centre() == data_centre &&
               working_slots_of(server) > 0;
    });
}

// Starts the search at a different server each time. If the first server were
// always preferred among equal ones, nothing would be learned about the others
// under low load.
std::optional<slot_table::index>
slot_table::choose(const slot_requirements& requirements,
                   time_point now) const {
    return choose_from(requirements, now, usable_, search_start());
}

// Instances that share the slots of an unreachable owner do not know what the
// others run. If all began at the same server, they would fill a few servers
// beside idle ones.
std::size_t slot_table::search_start() const {
    if (owns_any_ || usable_.empty()) {
        return next_start_;
    }
    return (next_start_ + stable_hash(self_.name)) % usable_.size();
}

std::optional<slot_table::index>
slot_table::choose(const slot_requirements& requirements, time_point now,
                   const std::vector<index>& among) const {
    return choose_from(requirements, now, among, 0);
}

std::optional<slot_table::index>
slot_table::choose_from(const slot_requirements& requirements, time_point now,
                        const std::vector<index>& among,
                        std::size_t first) const {
    if (requirements.crossing_loss > 0 &&
        !any_working_in(requirements.data_centre)) {
        slot_requirements without_crossing_loss = requirements;
        without_crossing_loss.crossing_loss = 0; // no near slot to wait for
        return choose_from(without_crossing_loss, now, among, first);
    }
    std::optional<in_time_estimator> estimator;
    if (requirements.forecast) {
        estimator.emplace(*requirements.forecast, slowness_model_);
    }
    std::optional<index> best;
    std::optional<index> fallback;
    double best_cost = std::numeric_limits<double>::max();
    double fallback_cost = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < among.size(); ++i) {
        const std::size_t offset = first + i;
        const index place =
            among[offset < among.size() ? offset : offset - among.size()];
        const backend_slots& server = servers_[place];
        const bool fits_isolation =
            !requirements.isolated || server.in_flight() == 0;
        const bool fits_owner = !requirements.for_peer || owned_[place];
        if (usable_slots(server, now) == 0 || !fits_isolation || !fits_owner ||
            !suits(requirements, server, now)) {
            continue;
        }
        const double slot_cost =
            cost(place, requirements, estimator ? &*estimator : nullptr, now);
        const bool admitted = admits(server, requirements, now);
        if (admitted && slot_cost < best_cost) {
            best = place;
            best_cost = slot_cost;
        } else if (!admitted && slot_cost < fallback_cost) {
            fallback = place;
            fallback_cost = slot_cost;
        }
    }
    if (best || !fallback) {
        return best;
    }
    // If all servers of this owner fail, the request waits for a slot of
    // another owner, whose servers may work, instead of ending in an error
    // here.
    if (requirements.may_borrow && servers_[*fallback].excluded()) {
        return std::nullopt;
    }
    const bool nothing_better = !excludes_failing() || none_working();
    return nothing_better ? fallback : std::nullopt;
}

} // namespace waxwingvale::decision
