#pragma once

#include <map>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

struct probe_limits {
    // Probes per second to one backend server from all entry instances
    // together; 0 turns probing off.
    double rate = 0.1;
    // The longest time for which two entry instances that can reach each other
    // may both consider themselves the owner of a backend server.
    duration settling_time = std::chrono::seconds(5);
};

// Limits the probes to each backend server to the configured rate. The limit
// holds for all entry instances together, also while ownership changes.
//
// Only the owner of a backend server probes it. A new owner starts without
// tokens and waits for `settling_time` and one full period, so that its first
// probe comes at least a period after the last probe of the previous owner. An
// owner that reaches only a fraction of the entry instances (in a network
// partition, possibly with another owner on the other side) uses that fraction
// of the rate.
class probe_budget {
public:
    explicit probe_budget(const probe_limits& limits);

    void on_ownership_gained(const std::string& backend_server, time_point now);
    void on_ownership_lost(const std::string& backend_server);

    // Sets the share (0 to 1) of all known entry instances, this one included,
    // that were heard from recently and agree with this instance. The smallest
    // share of the last `settling_time` is in effect.
    void set_reachable_share(double share, time_point now);

    // Returns whether a probe may be sent now. If so, it counts as sent.
    bool try_probe(const std::string& backend_server, time_point now);

    // Returns when try_probe will allow the next probe if nothing changes, or
    // time_point::max() if it never will.
    time_point next_probe_time(const std::string& backend_server,
                               time_point now) const;

    // Applies the rate of a newer configuration. If the rate differs, tokens
    // collected so far are discarded.
    void change_rate(double rate, time_point now);

private:
    struct bucket {
        double tokens = 0;
        time_point refilled_until{}; // `tokens` are counted up to this time
    };

    // A share that is in effect from `from` until the next step.
    struct share_step {
        time_point from{};
        double share = 0;
    };

    double share_at(time_point now) const;
    double tokens_at(const bucket& state, time_point now) const;

    probe_limits limits_;
    std::map<std::string, bucket> buckets_;
    std::vector<share_step> shares_{{}}; // ascending in time and share
};

} // namespace waxwingvale::decision
