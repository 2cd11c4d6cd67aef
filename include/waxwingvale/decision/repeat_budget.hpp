#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <waxwingvale/decision/held_window.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How many repeated attempts one instance may send to a service: within any
// period of length `window`, `fraction` times the requests that callers sent to
// it, and `extra`, its part of those that the service may get besides.
struct repeat_limits {
    duration window{};
    double fraction = 0;
    double extra = 0;
};

// The part of an instance in the extra repeats of a service, which are divided
// among all instances known, also those that are gone or out of reach. Where
// there are fewer than instances, some hold a whole one and the others none:
// nobody can send a part of a repeat.
double part_of_extra(double extra, std::size_t instances,
                     const std::string& instance, const std::string& service);

// The part of one instance in the repeated attempts (retries and hedges) that a
// service may get. Each instance pays for the repeats that it sends itself,
// from a token bucket that
//
// - gains a part of a repeat with each request that callers sent to it, and
//   slowly more with time;
// - holds no more than its part of the extra ones and some of what the requests
//   of the last window allowed. Both together are `fraction`: a predecessor may
//   have spent what was held, and its successor spends what it gains;
// - is empty when the process begins, since the former process of its name may
//   have spent all, and full when nothing was spent for a whole window;
// - can be passed on to peers, who lose what they give.
//
// No two processes ever hold the same token, whoever owns the slots and whoever
// reaches whom, so that the sum stays within the limits when instances end,
// stop, start or are cut apart.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_limits& limits) : limits_(limits) {}

    void change_limits(const repeat_limits& limits, time_point now);
    // Sets since when this process has run. Before it spends anything.
    void hold_since(time_point began);
    void on_request(time_point now);
    // Takes the token of one repeated attempt if there is one; returns whether
    // there was.
    bool try_spend(time_point now);

    // Gives up to half of the tokens to a peer; returns how much. The peer may
    // use it for credit_lifetime after it has asked.
    double give(double wanted, time_point now);
    // A peer has given so much, which may be used until the given time.
    void receive(double amount, time_point usable_until);
    static constexpr duration credit_lifetime = std::chrono::milliseconds(250);

    double tokens(time_point now) const;
    double capacity(time_point now) const;

private:
    using section_counts = std::map<time_point, double>; // by their starts

    double gain_of_request() const;
    double requests(time_point now) const;
    // What a peer has given.
    struct credit {
        double amount = 0;
        time_point usable_until{};
    };

    void refill(time_point now);
    void take(double amount, time_point now);
    double take_credits(double most, time_point now);

    repeat_limits limits_;
    double tokens_ = 0;
    time_point refilled_at_{};
    time_point last_spent_{}; // by this process or, perhaps, its predecessors
    std::vector<credit> credits_;
    section_counts requests_;
};

} // namespace waxwingvale::decision
