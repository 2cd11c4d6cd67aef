#pragma once

#include <variant>

#include <waxwingvale/decision/attempt_budget.hpp>
#include <waxwingvale/decision/hedge_delay.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// A request in flight for which a hedge is considered.
struct hedge_candidate {
    request_nature nature = request_nature::at_most_once;
    bool nested = false; // the request came with Waxwing-Attempt
    bool hedged = false; // a second copy was sent already
    time_point sent{};   // when the first copy was sent
    // Time after `sent` from which the answer counts as slow; zero: derived
    // from the latencies of the class.
    duration slow_after{};
    time_point deadline{};
    unsigned free_slots = 0; // of other backend servers of the service
    unsigned waiting = 0;    // requests queued for a slot
};

// Send a second copy to another backend server on a separate connection. The
// first answer is used and the other copy is cancelled.
struct hedge_now {};

// Call hedge_policy::on_slow() again at the given time.
struct hedge_later {
    time_point at{};
};

// Do not hedge this request.
struct no_hedge {};

using hedge_decision = std::variant<hedge_now, hedge_later, no_hedge>;

struct hedge_limits {
    double fraction = 0.05; // of first attempts; from the service's budgets
    double burst = 5;       // most tokens of the budget
    double quantile = 0.95; // of latency: the slowest 5 in 100 are hedged
    // Delay before a hedge while there are too few samples.
    duration default_delay = std::chrono::milliseconds(50);
    // Lower bound of every delay.
    duration min_delay = std::chrono::milliseconds(1);
};

// Decides, for one request class of a service, when a slow read is hedged.
class hedge_policy {
public:
    explicit hedge_policy(const hedge_limits& limits);

    void on_first_attempt() { budget_.on_first_attempt(); }
    void on_latency(duration latency) { latencies_.on_latency(latency); }
    // Decides about a request that has no answer yet. Takes a token from the
    // budget if the decision is hedge_now.
    hedge_decision on_slow(const hedge_candidate& candidate, time_point now);
    // Time from sending a request to its hedge, from recent latencies.
    duration delay() const;
    void change_fraction(double fraction) { budget_.change_fraction(fraction); }
    const attempt_budget& budget() const { return budget_; }

private:
    duration recheck_interval() const;

    hedge_limits limits_;
    attempt_budget budget_;
    hedge_delay latencies_;
};

} // namespace waxwingvale::decision
