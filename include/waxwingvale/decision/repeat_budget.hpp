#pragma once

#include <map>
#include <optional>
#include <vector>

#include <waxwingvale/decision/held_window.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How many repeated attempts a service may get from all instances: within any
// period of length `window`, at most `fraction` times its requests plus
// `extra`. `instances` is the number of all instances known, also of those that
// are gone or out of reach, among which the extra ones are divided.
struct repeat_limits {
    duration window{};
    double fraction = 0;
    double extra = 0;
    double instances = 1;
};

// What a repeated attempt was charged to the budget of the instance that sends
// it. The rest of it was charged to peers.
struct repeat_charge {
    double amount = 0;
    time_point counted_at{}; // the latest time at which it may be sent
};

// The part of one instance in the repeated attempts (retries and hedges) that a
// service may get, over a sliding window. Each instance pays for the repeats
// that it sends itself:
//
// - with `fraction` of a repeat for each request that it received itself;
// - with its part of the extra ones, once it has run for a window: the former
//   process of its name may have used them;
// - with what peers have given it of theirs.
//
// No two processes ever hold the same part, whoever owns the slots and whoever
// reaches whom, so that the sum stays within the limits when instances end,
// stop, start or are cut apart.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_limits& limits) : limits_(limits) {}

    void change_limits(const repeat_limits& limits) { limits_ = limits; }
    // Sets since when this process has run.
    void hold_since(time_point began) { began_ = began; }
    void on_request(time_point now);
    // Charges one repeated attempt that will be sent until `latest_send`, if
    // the budget allows it.
    std::optional<repeat_charge> try_spend(time_point now,
                                           time_point latest_send);
    // The attempt is sent now.
    void on_sent(const repeat_charge& charged, time_point now);

    // Gives up to half of what is left to a peer; returns how much. The peer
    // may use it for credit_lifetime.
    double give(double wanted, time_point now);
    // A peer has given so much, which may be used until the given time.
    void receive(double amount, time_point usable_until);
    static constexpr duration credit_lifetime = std::chrono::seconds(2);

    // Requests and repeats of the window, and the most repeats allowed in it by
    // what this instance holds itself.
    double requests(time_point now) const;
    double repeats(time_point now) const;
    double limit(time_point now) const;

private:
    // Counts of one section of the window.
    struct window_section {
        double requests = 0;
        double repeats = 0;
    };
    // What a peer has given.
    struct credit {
        double amount = 0;
        time_point usable_until{};
    };

    duration section_length() const;
    window_section& section_at(time_point when);
    void drop_old(time_point now);
    double left(time_point now) const;
    double credits_until(time_point latest_send) const;
    void use_credits(double amount, time_point latest_send);

    repeat_limits limits_;
    time_point began_{};
    std::map<time_point, window_section> sections_; // by their starts
    std::vector<credit> credits_;
};

} // namespace waxwingvale::decision
