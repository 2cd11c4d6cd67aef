#pragma once

#include <map>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How much longer work takes on a backend server the more of its slots are
// busy, learned from service times. Some servers slow down when they are
// nearly full: then more in flight is less done.
class crowding_profile {
public:
    // An answer came from a server of that many slots, on which that many
    // requests ran when this one started; relative_log compares its time with
    // the usual on a server of that pace, which is `usual`.
    void add(unsigned running, unsigned slots, double relative_log,
             duration usual, time_point now);

    // The logarithm of how much longer work takes there; never below 0.
    double log_ratio(unsigned running, unsigned slots) const;
    // Whether a server of that many slots counts as not crowded with so many
    // running: what is usual is learned there alone. Were it learned at all
    // counts, a server that is always full would make its slowness the usual
    // one, and the crowding would no longer be seen.
    static bool is_roomy(unsigned running, unsigned slots);
    // How many requests at once make a server do the most work, as far as is
    // known; all slots while nothing is.
    unsigned best_count(unsigned slots) const;
    // The same for requests that must not become late by being one too many:
    // half of the slots at first, and one more when answers have shown what
    // that many do. A service that starts under full load would else see only
    // crowded servers, take what it sees for the usual, and fill them for
    // seconds (126 servers of 6 slots that are best at 4: for 5 s, while half
    // of the answers came late).
    unsigned proven_count(unsigned slots) const;
    // How much longer work takes with that many, as a logarithm.
    double log_ratio_at_proven(unsigned slots) const {
        return log_ratio(proven_count(slots), slots);
    }

private:
    struct cell {
        double sum = 0;
        double weight = 0;
    };
    struct profile {
        std::vector<cell> cells; // by running - 1
        std::vector<double> log_ratios;
        unsigned best = 1;
        unsigned roomy_seen = 0; // answers of servers that were not crowded
        unsigned tried = 0;      // the largest count that may be tried
        time_point next_step{};  // when one more may be, at the earliest
    };

    static void refresh(profile& of);
    static void try_more(profile& of, duration usual, time_point now);

    std::map<unsigned, profile> by_slots_;
};

} // namespace waxwingvale::decision
