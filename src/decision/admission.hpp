#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "decision/latency_estimator.hpp"
#include "decision/request_queue.hpp"
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// What the file says of one class, and what its answers showed.
struct class_record {
    std::size_t queue_limit = 0; // 0: none
    latency_estimator time;
};

// Estimates when a waiting request would complete, and hands out moments for
// refused ones to come back, so that the slots can serve them then.
class admission {
public:
    explicit admission(const scheduling_policy& policy);

    void configure(const service& of);
    void add_service_time(const std::string& request_class, duration sample);

    duration typical(const std::string& request_class) const;
    double relative_log(const std::string& request_class,
                        duration sample) const;
    // The last moment at which starting such a request is useful.
    time_point latest_start(const request_arrived& request,
                            time_point now) const;
    // The file's limit for waiting requests of the class; 0 is none.
    std::size_t queue_limit(const std::string& request_class) const;

    // How long slots need for that many requests.
    duration time_to_serve(double requests, unsigned slots) const;

    // The next free moment for a refused request, as a delay: one request
    // for each that the slots serve, the first when the backlog is done.
    duration next_appointment(duration backlog, unsigned slots, time_point now);

private:
    const latency_estimator& estimator(const std::string& name) const;
    duration next_round_offset(duration interval);

    scheduling_policy policy_;
    std::unordered_map<std::string, class_record> classes_;
    latency_estimator all_;
    time_point appointments_until_{};
    std::uint64_t rounds_ = 0; // times the horizon was full
};

} // namespace waxwingvale::decision
