#pragma once

#include <vector>

namespace waxwingvale::decision {

// Slowdown of backend servers by the number of requests that run at once,
// learned from service times. Some servers slow down so much when they are
// nearly full that more requests in flight mean less throughput.
class contention_profile {
public:
    // Records an answer of a server with `slots` slots, on which `running`
    // requests ran when this one started, itself included. log_ratio is the
    // logarithm of its service time divided by the time expected without
    // contention.
    void add(unsigned running, unsigned slots, double log_ratio);

    // Logarithm of the slowdown; 0 or more.
    double log_slowdown(unsigned running, unsigned slots) const;
    // Factor by which work takes longer; 1 or more.
    double slowdown(unsigned running, unsigned slots) const;
    // Whether so few requests run that they do not slow each other down.
    // Baseline service times are learned at this load only. If they were
    // learned at any load, the slowdown of a server that is always full would
    // become the baseline, and the contention would not be detected.
    static bool is_lightly_loaded(unsigned running, unsigned slots);
    // A less strict limit, for the first estimate of the baseline: under
    // overload, servers are hardly ever lightly loaded.
    static bool is_moderately_loaded(unsigned running, unsigned slots);
    // Number of concurrent requests with the highest throughput; all slots
    // until enough is known.
    unsigned best_concurrency(unsigned slots) const;
    double log_slowdown_at_best(unsigned slots) const {
        return log_slowdown(best_concurrency(slots), slots);
    }

private:
    // Answers at one number of running requests: weighted sums of log_ratio.
    struct cell {
        double sum = 0;
        double squares = 0;
        double weight = 0;

        void scale(double factor);
        void replace_oldest();
        void add(double log_ratio);
        // Logarithm of the slowdown if it is statistically significant, else 0.
        double log_slowdown() const;
    };
    struct profile {
        std::vector<cell> cells; // index: running - 1; empty if no data
        std::vector<double> log_slowdowns;
        std::vector<double> slowdowns;
        unsigned best = 1;
    };

    static void refresh(profile& of);

    profile* profile_of(unsigned slots);
    const profile* find(unsigned slots) const;

    // Indexed by the number of slots, for fast look-ups: each choice of a slot
    // looks at all of up to some hundred servers.
    std::vector<profile> by_slots_;
};

} // namespace waxwingvale::decision
