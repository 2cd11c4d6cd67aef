#pragma once

#include <string>
#include <vector>

#include "standin/explore.hpp"

#include <waxwingvale/decision/probe_budget.hpp>

namespace probe_model {

// Rules of the probe budget that a broken variant leaves out.
struct probe_rules {
    bool new_owner_waits = true;    // a new owner waits for the previous one
    bool rate_follows_share = true; // a partitioned owner probes less often
};

// Simulates entry instances that probe one backend server. Its owner changes,
// and each instance learns of the change at its own time within the settling
// time. Partitions come and go, and every instance probes as soon as its budget
// allows.
class probe_simulation {
public:
    explicit probe_simulation(const probe_rules& rules);
    std::string run(const standin::schedule& steps);
    std::size_t probes() const { return sent_.size(); }

private:
    using handler = void (probe_simulation::*)(const standin::step&);
    static const std::vector<handler>& handlers();

    // An ownership change that an instance learns of later.
    struct pending_update {
        waxwingvale::time_point at{};
        std::size_t entry = 0;
        std::size_t owner = 0;
        double share = 1;
    };

    void move_owner(const standin::step& step);
    void partition(const standin::step& step);
    void heal_partition(const standin::step& step);
    void restart_entry(const standin::step& step);
    void advance_time(const standin::step& step);

    void announce_change(const standin::step& step);
    std::size_t owner_for(std::size_t entry) const;
    double share_of(std::size_t entry) const;
    void apply_update(const pending_update& update);
    void advance(waxwingvale::duration by);
    void send_allowed_probes();
    void check_windows();

    probe_rules rules_;
    waxwingvale::decision::probe_limits limits_;
    waxwingvale::time_point now_{};
    waxwingvale::time_point settled_at_{}; // all have learnt by then
    std::vector<waxwingvale::decision::probe_budget> entries_;
    std::vector<bool> far_side_;
    std::size_t first_candidate_ = 0; // for the owner
    std::vector<pending_update> pending_;
    std::vector<waxwingvale::time_point> sent_;
    std::string violated_;
};

} // namespace probe_model
