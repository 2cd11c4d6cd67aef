#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "decision/backend_slots.hpp"
#include "decision/contention_profile.hpp"
#include "decision/slowness_model.hpp"
#include "decision/work_forecast.hpp"

namespace waxwingvale::decision {

// The requirements of a request on a slot.
struct slot_requirements {
    const request_needs* request = nullptr; // null: any server
    bool isolated = false;
    bool may_sample = false; // may be a sample of a slow or failing server
    bool may_borrow = false; // may still get a better slot from other owners
    bool for_peer = false;   // for a peer: only slots that are owned here
    duration typical_time{}; // typical service time of the request's class
    duration backlog{};      // time to serve the queue
    std::string data_centre; // of the instance that runs it
    // Loss by an answer from another data centre, as a fraction of its value.
    double crossing_loss = 0;
    // Set for a request whose answer has its full value only within a target
    // time. tolerated_loss is the fraction of the value that it may lose; it
    // waits for a better slot rather than lose more.
    std::optional<work_forecast> forecast;
    double tolerated_loss = 0;
};

// Whether the request's exclusions and data centres permit the server.
bool may_run_on(const request_needs& request, const backend_slots& server);

// What had been expected of an attempt that has ended.
struct ended_attempt {
    unsigned running = 1;       // requests on its server when it started
    bool lightly_loaded = true; // so few that they did not slow each other down
    bool moderately_loaded = true; // so few that they probably did not
    double contention_log = 0;     // part of log_slowdown caused by contention
    // Logarithm of the factor by which its work was expected to take longer
    // than typical, and whether that was known well enough to learn from its
    // time.
    double log_slowdown = 0;
    bool slowness_known = true;
    // Whether the typical time of its class on servers without contention is
    // known.
    bool baseline_known = true;
    // Whether it ran on a previous incarnation of its server.
    bool of_previous_incarnation = false;
};

// Slowness up to this counts as normal speed, which varies a little.
inline constexpr double max_normal_slowness = 1.5;

// The backend servers of one service and the slots that this instance may use:
// all slots of servers that it owns, a share of the slots of servers whose
// owner is unreachable, and none of other servers.
class slot_table {
public:
    using index = std::size_t;

    slot_table(member_id self, const scheduling_policy& policy);

    // The owners in the view must be the result of with_standbys().
    void apply(const service& of, const view_changed& view,
               const std::unordered_set<std::string>& reachable,
               time_point now);
    // Sets the service time by which the limits that servers name are converted
    // to slots. The sums over slots follow with their next update.
    void set_service_time(duration typical) { service_time_ = typical; }

    std::optional<index> find(const std::string& backend_server) const;
    const backend_slots& at(index place) const { return servers_[place]; }
    const std::vector<backend_slots>& all() const { return servers_; }
    bool owned(index place) const { return owned_[place]; }
    // Whether this instance owns any server.
    bool owns_any() const { return owns_any_; }
    // Whether it may use any slots, of its own or as a share.
    bool has_slots() const { return !usable_.empty(); }
    const slowness_model& slowness() const { return slowness_model_; }

    // Returns the server with the best free slot, if any, of all usable servers
    // or of those in `among`.
    std::optional<index> choose(const slot_requirements& requirements,
                                time_point now) const;
    std::optional<index> choose(const slot_requirements& requirements,
                                time_point now,
                                const std::vector<index>& among) const;
    // Returns the servers that changed since the last call, because an attempt
    // ended there or a load report arrived: they may now suit requests that
    // they did not suit before. Returns nothing if any server may have changed,
    // because apply() was called.
    std::optional<std::vector<index>> take_changed();
    // Whether any available server is permitted for the request: for one of
    // this instance, a server that does not rest until its deadline.
    bool any_eligible(const request_arrived& request, bool of_peer) const;
    // Whether any available server does not rest.
    bool any_open(time_point now) const;
    // Whether a request with a grant may be started on the server.
    bool may_start(index place, time_point now) const;
    // Names of the servers that rest.
    std::vector<std::string> resting_servers(time_point now) const;

    // Logarithm of the factor by which work that starts there now is expected
    // to take longer than typical.
    double expected_log_slowdown(index place) const;

    // Occupies a slot until finish() or release() is called with the returned
    // attempt.
    attempt_ref start(index place, time_point now, bool isolated);
    // Records the end of an attempt on the server. The attempt is 0 if it used
    // a slot that a peer granted.
    ended_attempt finish(index place, attempt_ref attempt, const grant_use& use,
                         time_point now);
    // Records the terms that a server stated in an answer to a request that
    // was sent at the given time.
    void record_terms(index place, const backend_terms& terms,
                      time_point sent_at, time_point now);
    // The server wants nothing from this instance for that long.
    void record_rest(index place, duration wanted, time_point now);
    // Learns from an ended attempt; log_ratio is the logarithm of its service
    // time divided by the expected time, or empty if the former is unknown.
    void learn(index place, const ended_attempt& ended, attempt_verdict verdict,
               std::optional<double> log_ratio, time_point now);
    // Frees a slot on which no request was started.
    void release(index place, attempt_ref attempt, time_point now);
    // Whether the server may be probed now, and that it is probed.
    bool may_probe(index place, time_point now) const;
    void probe_started(index place, time_point now);
    // Records the result of a probe of the server.
    void probe_finished(index place, const probe_ended& probe, time_point now);

    // Usable slots of servers that neither fail nor are stragglers, and usable
    // slots in use.
    unsigned working_slots() const;
    unsigned busy_slots() const;
    // Like working_slots(), but slots that other instances use, too, are
    // counted by the fair share of this instance.
    double weighted_slots() const;
    // Free slots among the working ones.
    unsigned idle_slots(time_point now) const;
    bool any_working_slot_free(time_point now) const;
    // Whether any server in `among`, or any usable server, has a free slot,
    // working or not.
    bool any_free(const std::optional<std::vector<index>>& among,
                  time_point now) const;
    // Capacity of the working slots, in slots that work at normal speed:
    // prompt_slots() counts slots that are expected to work at normal speed
    // now; normalized_slots() counts all slots, divided by their expected
    // slowness.
    double prompt_slots(time_point now) const;
    double normalized_slots(time_point now) const;
    // Logarithm of the slowdown by contention when all servers run the number
    // of requests with the highest throughput; of the most affected server.
    double saturated_log_slowdown() const;
    // Servers whose last load report is so old that a probe is worthwhile.
    std::vector<std::string> servers_to_probe(time_point now) const;
    // When the next slot becomes available because a pause or the limit of a
    // cold server ends or a sample is due.
    std::optional<time_point> next_change(time_point now) const;

private:
    static unsigned others_running(const backend_slots& server,
                                   const std::optional<backend_load>& load);
    void apply_beliefs(const view_changed& view);
    void apply_ownership(const view_changed& view,
                         const std::unordered_set<std::string>& reachable,
                         time_point now);
    std::optional<unsigned> cold_request_limit(bool owned,
                                               unsigned sharers) const;
    void configure_servers(const service& of);
    bool sample_is_due(const backend_slots& server,
                       const slot_requirements& requirements,
                       time_point now) const;
    bool admits(const backend_slots& server,
                const slot_requirements& requirements, time_point now) const;
    class in_time_estimator;
    double cost(index place, const slot_requirements& requirements,
                in_time_estimator* estimator, time_point now) const;
    double time_cost(index place, const slot_requirements& requirements) const;
    double expected_loss(const backend_slots& server,
                         const slot_requirements& requirements, double in_time,
                         double report_valid) const;
    double in_time_probability(const backend_slots& server, double report_valid,
                               in_time_estimator& estimator) const;
    double report_validity(const backend_slots& server, time_point now) const;
    double expected_slowness(const backend_slots& server,
                             double report_valid) const;
    double contention_log(const backend_slots& server) const;
    struct slot_counts;
    std::map<std::string, slot_counts>
    counts_by_data_centre(time_point now) const;
    duration max_report_age(const backend_slots& server) const;
    void record_load(backend_slots& server, const backend_load& load,
                     time_point now);
    // Where in usable_ the search for a slot begins.
    std::size_t search_start() const;
    std::optional<index> choose_from(const slot_requirements& requirements,
                                     time_point now,
                                     const std::vector<index>& among,
                                     std::size_t first) const;
    bool any_working_in(const std::string& data_centre) const;
    unsigned usable_slots(const backend_slots& server, time_point now) const;
    unsigned working_slots_of(const backend_slots& server) const;
    unsigned best_slots(const backend_slots& server) const;
    double reliable_slots(const backend_slots& server, double slots) const;
    double normalized_share(const backend_slots& server) const;
    bool none_working() const;
    bool excludes_failing() const;

    // Sums over all usable servers.
    struct totals {
        unsigned working = 0;
        double weighted = 0;
        double saturated_log_slowdown = 0;
        // Whether stragglers have more capacity than all other servers, so that
        // they are used like these.
        bool needs_stragglers = false;
    };
    struct estimates {
        time_point at{};
        double normal_speed = 0;
        double normalized = 0;
    };
    const totals& current_totals() const;
    estimates estimate(time_point now) const;
    const estimates& estimates_at(time_point now) const;
    void clear_cached_sums() {
        totals_.reset();
        estimates_.reset();
    }
    // Records that the attempts in flight or the state of the server have
    // changed.
    void mark_changed(index place);

    member_id self_;
    std::string self_data_centre_;
    scheduling_policy policy_;
    bool configured_before_ = false;
    std::optional<unsigned> cold_requests_; // limit of the service
    duration service_time_{};
    time_point any_rests_until_{}; // no server rests after it
    std::vector<backend_slots> servers_;
    std::vector<bool> owned_;
    bool owns_any_ = false;
    slowness_model slowness_model_;
    contention_profile contention_;
    attempt_ref last_attempt_ = 0;
    std::vector<index> usable_;  // servers with an allowance above 0
    std::size_t next_start_ = 0; // position in usable_ at which choose() starts
    std::unordered_map<std::string, index> by_name_;
    bool all_changed_ = true;
    std::vector<index> changed_;           // without duplicates
    mutable std::optional<totals> totals_; // cache
    mutable std::optional<estimates> estimates_;
};

} // namespace waxwingvale::decision
