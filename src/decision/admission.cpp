#include "decision/admission.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>

namespace waxwingvale::decision {

namespace {

// When the file names no typical time and nothing was seen yet.
constexpr duration unknown_service_time{20000};

// Without any slot there is no rate; then one a second may come back.
constexpr duration interval_without_slots{1000000};

// Weight of one more answer's size, and how many answers make a service time
// known.
constexpr double size_gain = 0.05;
constexpr unsigned known_after = 20;

class_record fresh_record(duration prior, double quantile) {
    const latency_estimator nothing_seen(prior, quantile);
    return {0, nothing_seen, nothing_seen, 0};
}

// Before an answer was seen. Who promises answers within a target has servers
// that need a part of it: of the users' twelve classes between a fifth and two
// fifths. Taken for 20 ms, requests of 100 ms were let in five times as many as
// could be served, and all got a second copy after 40 ms, by every instance
// that had just started.
duration expected_time(const service& of, const request_class& named) {
    constexpr int part_of_target = 3;
    if (of.typical_time > duration::zero()) {
        return of.typical_time;
    }
    return named.target_latency > duration::zero()
               ? named.target_latency / part_of_target
               : unknown_service_time;
}

// Configurations name some dozens of classes for a service; with routes that
// come and go all day it is some hundreds, most of which are gone.
constexpr std::size_t most_classes = 1000;

// The classes that the file names for the service, and those of the routes that
// lead there.
std::vector<const request_class*> classes_of(const service& of,
                                             const route_table* routes) {
    std::vector<const request_class*> named;
    for (const request_class& each : of.classes) {
        named.push_back(&each);
    }
    static const std::vector<route> none;
    for (const route& each : routes != nullptr ? routes->all() : none) {
        const bool leads_here =
            std::any_of(each.targets.begin(), each.targets.end(),
                        [&](const route_target& target) {
                            return target.service == of.name;
                        });
        if (leads_here) {
            named.push_back(&each.kind);
        }
    }
    return named;
}

} // namespace

const latency_estimator& class_record::known() const {
    return comparable() ? time : rough;
}

bool class_record::comparable() const {
    return time.samples() >= known_after;
}

admission::admission(const scheduling_policy& policy)
    : policy_(policy),
      all_(fresh_record(unknown_service_time, policy.admission_quantile)) {}

void admission::configure(const service& of, const route_table* routes) {
    const auto named = classes_of(of, routes);
    if (classes_.size() >= most_classes) {
        forget_all_but(named);
    }
    for (auto& known : classes_) {
        known.second.queue_limit = 0;
    }
    for (const request_class* each : named) {
        configure_class(of, *each);
    }
}

// Those that are gone would leave no place for new ones.
void admission::forget_all_but(const std::vector<const request_class*>& named) {
    std::unordered_set<std::string> kept;
    for (const request_class* each : named) {
        kept.insert(each->name);
    }
    for (auto it = classes_.begin(); it != classes_.end();) {
        it = kept.count(it->first) == 0 ? classes_.erase(it) : std::next(it);
    }
}

void admission::configure_class(const service& of, const request_class& named) {
    const bool first = classes_.empty() && all_.rough.samples() == 0;
    if (classes_.count(named.name) == 0 && classes_.size() < most_classes) {
        const auto fresh =
            fresh_record(expected_time(of, named), policy_.admission_quantile);
        classes_.emplace(named.name, fresh);
        all_ = first ? fresh : all_;
    }
    if (class_record* record = record_of(named.name)) {
        record->queue_limit = named.queue_limit;
    }
}

// Classes are learned of from their answers, too: requests that are routed by
// host and path name them without any in the service. Until a class has
// answers of its own, it is taken to be like the others.
class_record* admission::record_of(const std::string& request_class) {
    const auto found = classes_.find(request_class);
    if (found != classes_.end()) {
        return &found->second;
    }
    if (classes_.size() >= most_classes) {
        return nullptr;
    }
    const auto fresh =
        fresh_record(all_.known().typical(), policy_.admission_quantile);
    return &classes_.emplace(request_class, fresh).first->second;
}

const latency_estimator& admission::estimator(const std::string& name) const {
    const auto found = classes_.find(name);
    return found == classes_.end() ? all_.known() : found->second.known();
}

void admission::add_service_time(const std::string& request_class,
                                 duration sample, bool telling) {
    const auto add_to = [&](class_record& record) {
        record.rough.add(sample);
        if (telling) {
            record.time.add(sample);
        }
    };
    if (class_record* record = record_of(request_class)) {
        add_to(*record);
    }
    add_to(all_);
}

void admission::add_answer_size(const std::string& request_class,
                                std::size_t bytes) {
    if (class_record* record = record_of(request_class)) {
        double& known = record->answer_bytes;
        const auto size = static_cast<double>(bytes);
        known = known == 0 ? size : known + size_gain * (size - known);
    }
}

bool admission::comparable(const std::string& request_class) const {
    const auto found = classes_.find(request_class);
    return found != classes_.end() && found->second.comparable();
}

double admission::crossing_loss(const std::string& request_class) const {
    const auto found = classes_.find(request_class);
    const double bytes =
        found == classes_.end() ? 0 : found->second.answer_bytes;
    constexpr double bytes_per_kilobyte = 1000;
    return std::min(policy_.crossing_loss + policy_.crossing_loss_per_kilobyte *
                                                bytes / bytes_per_kilobyte,
                    policy_.crossing_loss_limit);
}

work_forecast admission::forecast(const std::string& request_class,
                                  duration left) const {
    const latency_estimator& time = estimator(request_class);
    work_forecast made;
    made.typical_log = time.typical_log();
    made.log_spread = time.log_spread();
    made.left_log =
        std::log(static_cast<double>(std::max(left, duration(1)).count()));
    return made;
}

time_point admission::in_time_until(const std::string& request_class,
                                    time_point target,
                                    double busy_log_factor) const {
    const latency_estimator& time = estimator(request_class);
    const double kept =
        std::exp(time.typical_log() + busy_log_factor +
                 policy_.in_time_deviations * time.log_spread());
    return target - duration(static_cast<duration::rep>(kept));
}

duration admission::typical(const std::string& request_class) const {
    return estimator(request_class).typical();
}

duration admission::mean_time(const std::string& request_class) const {
    return estimator(request_class).mean();
}

double admission::relative_log(const std::string& request_class,
                               duration sample) const {
    return estimator(request_class).relative_log(sample);
}

time_point admission::latest_start(const request_arrived& request,
                                   time_point now) const {
    // Started with only the usual time left, half of the requests would
    // complete too late and their slots be wasted, so the margin is a high
    // quantile.
    const duration to_spare =
        request.deadline - estimator(request.request_class).high() - now;
    return now +
           duration(static_cast<duration::rep>(
               policy_.wait_share * static_cast<double>(to_spare.count())));
}

std::size_t admission::queue_limit(const std::string& request_class) const {
    const auto found = classes_.find(request_class);
    return found == classes_.end() ? 0 : found->second.queue_limit;
}

duration admission::time_to_serve(double requests, double slots) const {
    if (slots <= 0) {
        return policy_.appointment_horizon;
    }
    const double time = static_cast<double>(all_.known().mean().count());
    return duration(static_cast<duration::rep>(requests * time / slots));
}

// More were refused than can be served within the horizon: the next round
// begins in front again, its moments between those of the rounds before.
duration admission::next_round_offset(duration interval) {
    constexpr double golden_ratio = 0.6180339887498949;
    ++rounds_;
    const double turns = golden_ratio * static_cast<double>(rounds_);
    const double fraction = turns - std::floor(turns);
    return duration(static_cast<duration::rep>(
        fraction * static_cast<double>(interval.count())));
}

duration admission::next_appointment(duration backlog, double slots,
                                     time_point now) {
    const duration interval =
        slots <= 0 ? interval_without_slots
                   : std::max(time_to_serve(1.0, slots), duration(1));
    const time_point earliest = now + backlog + interval;
    appointments_until_ = std::max(appointments_until_ + interval, earliest);
    if (appointments_until_ > earliest + policy_.appointment_horizon) {
        appointments_until_ = earliest + next_round_offset(interval);
    }
    return appointments_until_ - now;
}

} // namespace waxwingvale::decision
