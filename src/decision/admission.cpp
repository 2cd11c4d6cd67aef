#include "decision/admission.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>

namespace waxwingvale::decision {

namespace {

// Used before the first answer if no typical time is configured.
constexpr duration default_service_time{20000};

// With no slot there is no service rate; one request per second is then told to
// come back.
constexpr duration retry_interval_without_slots{1000000};

// Weight of one answer in the running mean of answer sizes.
constexpr double answer_size_gain = 0.05;
// How many reliable samples are enough to use only these.
constexpr unsigned min_reliable_samples = 20;

class_record new_record(duration prior, double quantile) {
    const latency_estimator without_samples(prior, quantile);
    return {0, without_samples, without_samples, 0};
}

// Expected service time of a class before its first answer. Backend servers
// take a part of the promised target: between a fifth and two fifths in the
// twelve request classes of known users. When 20 ms was assumed for requests
// that took 100 ms, every newly started instance admitted five times as many as
// could be served and sent a second copy of each after 40 ms.
duration expected_time(const service& config, const request_class& configured) {
    constexpr int service_times_per_target = 3;
    if (config.typical_time > duration::zero()) {
        return config.typical_time;
    }
    return configured.target_latency > duration::zero()
               ? configured.target_latency / service_times_per_target
               : default_service_time;
}

// A configuration names some dozens of classes for a service. Where routes are
// added and removed all day, some hundreds accumulate, most of them obsolete.
constexpr std::size_t max_classes = 1000;

// The classes configured for the service, and those of routes that lead to it.
std::vector<const request_class*> classes_of(const service& config,
                                             const route_table* routes) {
    std::vector<const request_class*> configured;
    for (const request_class& each : config.classes) {
        configured.push_back(&each);
    }
    static const std::vector<route> none;
    for (const route& each : routes != nullptr ? routes->all() : none) {
        const bool leads_here =
            std::any_of(each.targets.begin(), each.targets.end(),
                        [&](const route_target& target) {
                            return target.service == config.name;
                        });
        if (leads_here) {
            configured.push_back(&each.kind);
        }
    }
    return configured;
}

} // namespace

const latency_estimator& class_record::best_estimator() const {
    return baseline_known() ? reliable_time : overall_time;
}

bool class_record::baseline_known() const {
    return reliable_time.samples() >= min_reliable_samples;
}

admission::admission(const scheduling_policy& policy)
    : policy_(policy),
      all_classes_(
          new_record(default_service_time, policy.admission_quantile)) {}

void admission::configure(const service& config, const route_table* routes) {
    const auto configured = classes_of(config, routes);
    if (classes_.size() >= max_classes) {
        retain_classes(configured);
    }
    for (auto& each : classes_) {
        each.second.queue_limit = 0;
    }
    for (const request_class* each : configured) {
        configure_class(config, *each);
    }
}

// Removes the records of obsolete classes, which would leave no room for new
// classes.
void admission::retain_classes(
    const std::vector<const request_class*>& configured) {
    std::unordered_set<std::string> kept;
    for (const request_class* each : configured) {
        kept.insert(each->name);
    }
    for (auto it = classes_.begin(); it != classes_.end();) {
        it = kept.count(it->first) == 0 ? classes_.erase(it) : std::next(it);
    }
}

void admission::configure_class(const service& config,
                                const request_class& configured) {
    const bool first =
        classes_.empty() && all_classes_.overall_time.samples() == 0;
    if (classes_.count(configured.name) == 0 && classes_.size() < max_classes) {
        const auto fresh = new_record(expected_time(config, configured),
                                      policy_.admission_quantile);
        classes_.emplace(configured.name, fresh);
        all_classes_ = first ? fresh : all_classes_;
    }
    if (class_record* record = find_or_add_record(configured.name)) {
        record->queue_limit = configured.queue_limit;
    }
}

// Returns the record of the class, or null if there are too many classes. A
// class first seen in an answer gets a new record, since requests routed by
// host and path belong to classes that the service does not name. Until a class
// has answers of its own, the estimate over all classes is used for it.
class_record* admission::find_or_add_record(const std::string& request_class) {
    const auto found = classes_.find(request_class);
    if (found != classes_.end()) {
        return &found->second;
    }
    if (classes_.size() >= max_classes) {
        return nullptr;
    }
    const auto fresh = new_record(all_classes_.best_estimator().typical(),
                                  policy_.admission_quantile);
    return &classes_.emplace(request_class, fresh).first->second;
}

const latency_estimator&
admission::estimator_of(const std::string& name) const {
    const auto found = classes_.find(name);
    return found == classes_.end() ? all_classes_.best_estimator()
                                   : found->second.best_estimator();
}

void admission::add_service_time(const std::string& request_class,
                                 duration sample, bool reliable) {
    const auto add_to = [&](class_record& record) {
        record.overall_time.add(sample);
        if (reliable) {
            record.reliable_time.add(sample);
        }
    };
    if (class_record* record = find_or_add_record(request_class)) {
        add_to(*record);
    }
    add_to(all_classes_);
}

void admission::add_answer_size(const std::string& request_class,
                                std::size_t bytes) {
    if (class_record* record = find_or_add_record(request_class)) {
        double& mean = record->mean_answer_bytes;
        const auto size = static_cast<double>(bytes);
        mean = mean == 0 ? size : mean + answer_size_gain * (size - mean);
    }
}

bool admission::baseline_known(const std::string& request_class) const {
    const auto found = classes_.find(request_class);
    return found != classes_.end() && found->second.baseline_known();
}

double admission::crossing_loss(const std::string& request_class) const {
    const auto found = classes_.find(request_class);
    const double bytes =
        found == classes_.end() ? 0 : found->second.mean_answer_bytes;
    constexpr double bytes_per_kilobyte = 1000;
    return std::min(policy_.crossing_loss + policy_.crossing_loss_per_kilobyte *
                                                bytes / bytes_per_kilobyte,
                    policy_.crossing_loss_limit);
}

work_forecast admission::forecast(const std::string& request_class,
                                  duration left) const {
    const latency_estimator& time = estimator_of(request_class);
    work_forecast forecast;
    forecast.typical_log = time.typical_log();
    forecast.log_spread = time.log_spread();
    forecast.time_left_log =
        std::log(static_cast<double>(std::max(left, duration(1)).count()));
    return forecast;
}

time_point
admission::latest_start_within_target(const std::string& request_class,
                                      time_point target,
                                      double saturated_log_slowdown) const {
    const latency_estimator& time = estimator_of(request_class);
    const double service_time_us =
        std::exp(time.typical_log() + saturated_log_slowdown +
                 policy_.target_margin_deviations * time.log_spread());
    return target - duration(static_cast<duration::rep>(service_time_us));
}

duration admission::typical_time(const std::string& request_class) const {
    return estimator_of(request_class).typical();
}

duration admission::high_time(const std::string& request_class) const {
    return estimator_of(request_class).high_quantile();
}

duration admission::mean_time(const std::string& request_class) const {
    return estimator_of(request_class).mean();
}

double admission::log_ratio_to_typical(const std::string& request_class,
                                       duration sample) const {
    return estimator_of(request_class).log_ratio_to_typical(sample);
}

time_point admission::latest_start(const request_arrived& request,
                                   time_point now) const {
    // The margin is a high quantile of the service time: with only the typical
    // time left, half of the requests would complete too late and waste their
    // slots.
    const duration to_spare =
        request.deadline - high_time(request.request_class) - now;
    return now + duration(static_cast<duration::rep>(
                     policy_.max_queueing_share *
                     static_cast<double>(to_spare.count())));
}

std::size_t admission::queue_limit(const std::string& request_class) const {
    const auto found = classes_.find(request_class);
    return found == classes_.end() ? 0 : found->second.queue_limit;
}

duration admission::time_to_serve(double requests, double slots) const {
    if (slots <= 0) {
        return policy_.retry_horizon;
    }
    const double time =
        static_cast<double>(all_classes_.best_estimator().mean().count());
    return duration(static_cast<duration::rep>(requests * time / slots));
}

// Offset of a new round of retry times. When more requests are refused than can
// be served within the horizon, the times start again from the earliest one.
// The offset places them between the times of the previous rounds.
duration admission::next_round_offset(duration interval) {
    constexpr double golden_ratio = 0.6180339887498949;
    ++retry_rounds_;
    const double turns = golden_ratio * static_cast<double>(retry_rounds_);
    const double fraction = turns - std::floor(turns);
    return duration(static_cast<duration::rep>(
        fraction * static_cast<double>(interval.count())));
}

duration admission::next_retry_delay(duration backlog, double slots,
                                     time_point now) {
    const duration interval =
        slots <= 0 ? retry_interval_without_slots
                   : std::max(time_to_serve(1.0, slots), duration(1));
    const time_point earliest = now + backlog + interval;
    last_retry_time_ = std::max(last_retry_time_ + interval, earliest);
    if (last_retry_time_ > earliest + policy_.retry_horizon) {
        last_retry_time_ = earliest + next_round_offset(interval);
    }
    return last_retry_time_ - now;
}

} // namespace waxwingvale::decision
