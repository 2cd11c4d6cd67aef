#pragma once

#include <map>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

struct probe_limits {
    double rate = 0.1; // probes a second to one backend server, from all
                       // entry instances together; 0 turns probing off
    // The longest that two entry instances may both take themselves for the
    // owner of a backend server while they can reach each other.
    duration settle = std::chrono::seconds(5);
};

// Grants probes within the budget that the operators set, which holds for all
// entry instances together, also while ownership moves.
//
// Only the owner of a backend server probes it. A new owner starts with
// nothing saved and waits `settle` longer than one whole period, so that its
// first probe comes a period after the former owner's last. An owner that
// reaches only a share of the entry instances (a partition, with perhaps
// another owner on the other side) uses that share of the rate.
class probe_budget {
public:
    explicit probe_budget(const probe_limits& limits);

    void on_owned(const std::string& backend_server, time_point now);
    void on_lost(const std::string& backend_server);

    // The share (0 to 1) of all known entry instances, this one included, that
    // was heard lately and agrees with us. What counts is the smallest share
    // of the last `settle`.
    void on_share(double share, time_point now);

    // Whether a probe may be sent now; it then counts as sent.
    bool try_probe(const std::string& backend_server, time_point now);

    // When try_probe would grant the next one if nothing changes.
    // time_point::max() for never.
    time_point next_probe(const std::string& backend_server,
                          time_point now) const;

    // A newer configuration's rate; nothing saved counts for it.
    void change_rate(double rate, time_point now);

private:
    struct bucket {
        double tokens = 0;
        time_point counted{}; // up to when tokens were paid in
    };

    // A share that counts from a moment until the next one does.
    struct share_step {
        time_point from{};
        double share = 0;
    };

    double share_at(time_point now) const;
    double paid_in(const bucket& of, time_point now) const;

    probe_limits limits_;
    std::map<std::string, bucket> buckets_;
    std::vector<share_step> shares_{{}}; // rising, by when they count
};

} // namespace waxwingvale::decision
