#pragma once

#include <variant>

#include <waxwingvale/decision/attempt_budget.hpp>
#include <waxwingvale/decision/hedge_delay.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// A request in flight that might be sent a second time.
struct hedge_candidate {
    request_nature nature = request_nature::at_most_once;
    bool nested = false; // the request came with Waxwing-Attempt
    bool hedged = false; // has a second copy already
    time_point sent{};   // when the first copy went out
    // After which its answer is slow to come; zero: as answers show.
    duration slow_after{};
    time_point deadline{};
    unsigned free_slots = 0; // of other backend servers of the service
    unsigned waiting = 0;    // calls queued for a slot
};

// Send a second copy to another backend server on a connection of its own; the
// first answer wins and the other copy is cancelled.
struct hedge_now {};

// Ask again at that time.
struct hedge_later {
    time_point at{};
};

// This request is not hedged.
struct no_hedge {};

using hedge_decision = std::variant<hedge_now, hedge_later, no_hedge>;

struct hedge_limits {
    double fraction = 0.05; // of first attempts; from the service's budgets
    double burst = 5;
    double quantile = 0.95; // hedge the slowest 5 in 100
    duration unknown_delay = std::chrono::milliseconds(50); // without samples
    duration shortest = std::chrono::milliseconds(1);
};

// Decides for one class of a service when a slow read gets a second copy.
class hedge_policy {
public:
    explicit hedge_policy(const hedge_limits& limits);

    void on_first_attempt() { budget_.on_first_attempt(); }
    void on_latency(duration latency) { latencies_.on_latency(latency); }
    // Takes a token from the budget when the answer is hedge_now.
    hedge_decision on_slow(const hedge_candidate& candidate, time_point now);
    duration delay() const;
    void change_fraction(double fraction) { budget_.change_fraction(fraction); }
    const attempt_budget& budget() const { return budget_; }

private:
    duration retry_delay() const;

    hedge_limits limits_;
    attempt_budget budget_;
    hedge_delay latencies_;
};

} // namespace waxwingvale::decision
