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

// What the file says of one class, and what its answers showed.
struct class_record {
    std::size_t queue_limit = 0; // 0: none
    latency_estimator time;      // of work at the usual pace
    // Of all answers, those of crowded servers and of such whose pace was not
    // known well among them; serves until enough others are there.
    latency_estimator rough;
    double answer_bytes = 0;

    // What is known of its time.
    const latency_estimator& known() const;
    bool comparable() const;
};

// Estimates when a waiting request would complete, and hands out moments for
// refused ones to come back, so that the slots can serve them then.
class admission {
public:
    explicit admission(const scheduling_policy& policy);

    // What the file says of the service and, where it has routes, of the
    // classes that they send there.
    void configure(const service& of, const route_table* routes);
    // An answer came; sample is what its work took at the usual pace. Telling:
    // its server was not crowded and its pace was known.
    void add_service_time(const std::string& request_class, duration sample,
                          bool telling);
    void add_answer_size(const std::string& request_class, std::size_t bytes);

    duration typical(const std::string& request_class) const;
    duration mean_time(const std::string& request_class) const;
    double relative_log(const std::string& request_class,
                        duration sample) const;
    // Whether enough telling answers of the class were seen to compare others
    // with them.
    bool comparable(const std::string& request_class) const;
    // What an answer of the class that crosses between data centres costs, in
    // parts of its worth.
    double crossing_loss(const std::string& request_class) const;
    work_forecast forecast(const std::string& request_class,
                           duration left) const;
    // The last moment at which servers that are busy, and by that much slower,
    // still answer within the target.
    time_point in_time_until(const std::string& request_class,
                             time_point target, double busy_log_factor) const;
    // The last moment at which starting such a request is useful.
    time_point latest_start(const request_arrived& request,
                            time_point now) const;
    // The file's limit for waiting requests of the class; 0 is none.
    std::size_t queue_limit(const std::string& request_class) const;

    // How long slots need for that many requests.
    duration time_to_serve(double requests, double slots) const;

    // The next free moment for a refused request, as a delay: one request
    // for each that the slots serve, the first when the backlog is done.
    duration next_appointment(duration backlog, double slots, time_point now);

private:
    void configure_class(const service& of, const request_class& named);
    void forget_all_but(const std::vector<const request_class*>& named);
    class_record* record_of(const std::string& request_class);
    const latency_estimator& estimator(const std::string& name) const;
    duration next_round_offset(duration interval);

    scheduling_policy policy_;
    std::unordered_map<std::string, class_record> classes_;
    class_record all_;
    time_point appointments_until_{};
    std::uint64_t rounds_ = 0; // times the horizon was full
};

} // namespace waxwingvale::decision
