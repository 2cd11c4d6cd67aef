#pragma once

#include <vector>

namespace waxwingvale::decision {

// How much longer work takes on a backend server the more of its slots are
// busy, learned from service times. Some servers slow down when they are
// nearly full: then more in flight is less done.
class crowding_profile {
public:
    // An answer came from a server of that many slots, on which that many
    // requests ran when this one started; relative_log compares its time with
    // the usual on a server of that pace.
    void add(unsigned running, unsigned slots, double relative_log);

    // The logarithm of how much longer work takes there; never below 0.
    double log_ratio(unsigned running, unsigned slots) const;
    // The ratio itself; 1 or more.
    double ratio(unsigned running, unsigned slots) const;
    // Whether a server of that many slots counts as not crowded with so many
    // running: what is usual is learned there alone. Were it learned at all
    // counts, a server that is always full would make its slowness the usual
    // one, and the crowding would no longer be seen.
    static bool is_roomy(unsigned running, unsigned slots);
    // The same for a first idea of what is usual: while more comes than the
    // servers can do, few ever run as little as that.
    static bool is_fairly_roomy(unsigned running, unsigned slots);
    // How many requests at once make a server do the most work, as far as is
    // known; all slots until it is.
    unsigned best_count(unsigned slots) const;
    // How much longer work takes with that many, as a logarithm.
    double log_ratio_at_best(unsigned slots) const {
        return log_ratio(best_count(slots), slots);
    }

private:
    // Answers of servers with so many running, as logarithms against the usual.
    struct cell {
        double sum = 0;
        double squares = 0;
        double weight = 0;

        void fade(double part);
        void replace_oldest();
        void add(double relative_log);
        // By how much longer they took, as far as it is no chance; 0 or more.
        double log_ratio() const;
    };
    struct profile {
        std::vector<cell> cells; // by running - 1; none: nothing was seen
        std::vector<double> log_ratios;
        std::vector<double> ratios;
        unsigned best = 1;
    };

    static void refresh(profile& of);

    profile* profile_of(unsigned slots);
    const profile* find(unsigned slots) const;

    // By the number of slots: each choice among some hundred servers looks at
    // every one of them.
    std::vector<profile> by_slots_;
};

} // namespace waxwingvale::decision
