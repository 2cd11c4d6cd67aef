#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/latency_estimator.hpp"
#include "decision/request_queue.hpp"
#include "decision/work_forecast.hpp"
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// Configuration and measurements of one request class. Service times are
// converted to the usual pace of the backend servers.
struct class_record {
    std::size_t queue_limit = 0; // 0: none
    // From reliable samples only: the server was not crowded, and its pace was
    // known.
    latency_estimator reliable_time;
    // From all samples; used until there are enough reliable ones.
    latency_estimator overall_time;
    double mean_answer_bytes = 0; // running mean; 0: no answer yet

    // The best estimator available.
    const latency_estimator& best_estimator() const;
    // Whether there are enough reliable samples.
    bool baseline_known() const;
};

// Estimates when a queued request would complete. Assigns each refused request
// a time to be sent again, such that the slots can serve it then.
class admission {
public:
    explicit admission(const scheduling_policy& policy);

    // Applies the configuration of the service and, if there are routes, of the
    // classes whose routes lead to it.
    void configure(const service& config, const route_table* routes);
    // Records the service time of an answer, converted to the usual pace.
    // `reliable`: its server was not crowded, and its pace was known.
    void add_service_time(const std::string& request_class, duration sample,
                          bool reliable);
    void add_answer_size(const std::string& request_class, std::size_t bytes);

    duration typical_time(const std::string& request_class) const;
    // The time that few requests of the class exceed.
    duration high_time(const std::string& request_class) const;
    duration mean_time(const std::string& request_class) const;
    double log_ratio_to_typical(const std::string& request_class,
                                duration sample) const;
    // Whether the class has enough reliable samples to judge other service
    // times by them.
    bool baseline_known(const std::string& request_class) const;
    // Loss of sending an answer of the class between data centres, as a share
    // of the answer's value.
    double crossing_loss(const std::string& request_class) const;
    work_forecast forecast(const std::string& request_class,
                           duration left) const;
    // The latest start at which the answer still meets the target, on servers
    // that are slower by the given factor because they are busy.
    time_point latest_start_within_target(const std::string& request_class,
                                          time_point target,
                                          double saturated_log_slowdown) const;
    // The latest start at which the request is still worth running.
    time_point latest_start(const request_arrived& request,
                            time_point now) const;
    // The configured limit of queued requests of the class; 0: none.
    std::size_t queue_limit(const std::string& request_class) const;

    // How long the given slots take to serve the given number of requests.
    duration time_to_serve(double requests, double slots) const;

    // Time after which a refused request is to be sent again. Successive calls
    // space the requests at the rate at which the slots serve them, the first
    // one after the backlog.
    duration next_retry_delay(duration backlog, double slots, time_point now);

private:
    void configure_class(const service& config,
                         const request_class& configured);
    void retain_classes(const std::vector<const request_class*>& configured);
    class_record* find_or_add_record(const std::string& request_class);
    const latency_estimator& estimator_of(const std::string& name) const;
    duration next_round_offset(duration interval);

    scheduling_policy policy_;
    std::unordered_map<std::string, class_record> classes_;
    class_record all_classes_;
    time_point last_retry_time_{};
    std::uint64_t retry_rounds_ = 0; // how often the horizon was reached
};

} // namespace waxwingvale::decision
