#pragma once

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/backend_health.hpp"
#include "decision/send_limits.hpp"

namespace waxwingvale::decision {

// Identifies an attempt on a backend server.
using attempt_ref = std::uint64_t;

// An attempt that has not ended, with the load of its server as known at its
// start.
struct running_attempt {
    attempt_ref ref = 0;
    time_point at{};
    unsigned running = 1; // requests on that server, this one included
    double slowness = 1;  // as last reported by the server
    // Age of that report, or nothing if the server had sent none.
    std::optional<duration> report_age;
};

// The last load report of a backend server.
struct load_report {
    backend_load load;
    double log_slowness = 0; // logarithm of load.slowness
    time_point at{};
};

// The slots of one backend server: how many are configured, how many this
// instance may use now, and which attempts are in flight.
class backend_slots {
public:
    explicit backend_slots(std::string name) : name_(std::move(name)) {}

    const std::string& name() const { return name_; }
    const std::string& data_centre() const { return data_centre_; }
    unsigned configured() const { return configured_; }
    unsigned in_flight() const {
        return static_cast<unsigned>(started_.size());
    }
    const std::optional<load_report>& last_load() const { return last_load_; }
    void record_load(const backend_load& load, time_point now) {
        last_load_ = load_report{load, std::log(load.slowness), now};
    }
    // Whether the last probe got no answer and the server has sent nothing
    // since.
    bool unresponsive() const { return unresponsive_; }
    void set_unresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
    // Whether no request is to go there as long as others can take it.
    bool excluded() const { return health().failing() || unresponsive(); }
    send_limits& limits() { return limits_; }
    const send_limits& limits() const { return limits_; }
    const backend_health& health() const { return health_; }
    backend_health& health() { return health_; }

    void configure(const backend_server& server);
    // A newer incarnation starts cold with one slot; health, load and attempts
    // of the previous one are discarded. Older incarnations are ignored.
    void set_incarnation(backend_incarnation incarnation);
    backend_incarnation incarnation() const { return incarnation_; }
    void limit_to_one_slot() { usable_ = 1; }
    // Sets the maximum number of requests that this instance may have in flight
    // on the server, and the fraction of them that it can rely on when other
    // instances use the server, too.
    void set_allowance(unsigned slots, double fair_share) {
        allowance_ = slots;
        fair_share_ = fair_share;
    }
    double fair_share() const { return fair_share_; }

    // Maximum number of requests in flight now.
    unsigned limit() const;
    // Slots that are free now and may be used by its send_limits: none while
    // it is reserved for an isolated request.
    unsigned free_slots(time_point now) const;
    // How many of the given slots are in use when the server gets as many
    // requests as the limit that it names allows, each of that service time.
    double usable_slots(double slots, duration service_time) const;

    void start(attempt_ref attempt, time_point now, bool isolated);
    // Ends the attempt and returns it, or nothing if it is unknown because the
    // server has restarted since. Attempt 0 stands for an attempt on a slot of
    // a peer: it is never known, but its verdict counts.
    std::optional<running_attempt> finish(attempt_ref attempt,
                                          const grant_use& use, time_point now,
                                          const scheduling_policy& policy);

private:
    void grow();
    void shrink(const scheduling_policy& policy);

    std::string name_;
    std::string data_centre_;
    backend_incarnation incarnation_ = 0;
    unsigned configured_ = 0;
    unsigned usable_ = 0;
    unsigned allowance_ = 0;
    double fair_share_ = 1;
    unsigned answers_since_change_ = 0; // of usable_
    // Rounds of answers before one more slot is tried. Doubles when the added
    // slot turns out to be in use by others; otherwise every second round would
    // end in a refusal.
    unsigned growth_rounds_ = 1;
    bool isolated_ = false;
    bool unresponsive_ = false;
    std::optional<load_report> last_load_;
    std::vector<running_attempt> started_;
    backend_health health_;
    send_limits limits_;
};

} // namespace waxwingvale::decision
