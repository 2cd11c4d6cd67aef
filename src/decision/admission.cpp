#include "decision/admission.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// When the file names no typical time and nothing was seen yet.
constexpr duration unknown_service_time{20000};

// Without any slot there is no rate; then one a second may come back.
constexpr duration interval_without_slots{1000000};

} // namespace

admission::admission(const scheduling_policy& policy)
    : policy_(policy), all_(unknown_service_time, policy.admission_quantile) {}

void admission::configure(const service& of) {
    const duration prior = of.typical_time > duration::zero()
                               ? of.typical_time
                               : unknown_service_time;
    if (classes_.empty()) {
        all_ = latency_estimator(prior, policy_.admission_quantile);
    }
    auto former = std::move(classes_);
    classes_.clear();
    for (const request_class& named : of.classes) {
        const auto found = former.find(named.name);
        const latency_estimator time =
            found != former.end()
                ? found->second.time
                : latency_estimator(prior, policy_.admission_quantile);
        classes_.emplace(named.name, class_record{named.queue_limit, time});
    }
}

const latency_estimator& admission::estimator(const std::string& name) const {
    const auto found = classes_.find(name);
    return found == classes_.end() ? all_ : found->second.time;
}

void admission::add_service_time(const std::string& request_class,
                                 duration sample) {
    all_.add(sample);
    const auto found = classes_.find(request_class);
    if (found != classes_.end()) {
        found->second.time.add(sample);
    }
}

duration admission::typical(const std::string& request_class) const {
    return estimator(request_class).typical();
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

duration admission::time_to_serve(double requests, unsigned slots) const {
    if (slots == 0) {
        return policy_.appointment_horizon;
    }
    const double time = static_cast<double>(all_.mean().count());
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

duration admission::next_appointment(duration backlog, unsigned slots,
                                     time_point now) {
    const duration interval =
        slots == 0 ? interval_without_slots
                   : std::max(time_to_serve(1.0, slots), duration(1));
    const time_point earliest = now + backlog + interval;
    appointments_until_ = std::max(appointments_until_ + interval, earliest);
    if (appointments_until_ > earliest + policy_.appointment_horizon) {
        appointments_until_ = earliest + next_round_offset(interval);
    }
    return appointments_until_ - now;
}

} // namespace waxwingvale::decision
