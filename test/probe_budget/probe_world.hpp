#pragma once

#include <string>
#include <vector>

#include "standin/explore.hpp"

#include <waxwingvale/decision/probe_budget.hpp>

namespace probe_model {

// What a variant of the model leaves out.
struct probe_rules {
    bool waits_to_settle = true; // a new owner waits for the former to stop
    bool uses_share = true;      // an owner cut off from some slows down
};

// Entry instances of which some own one backend server: its owner moves, each
// learns that at its own time within the settling bound, partitions come and
// go, and everyone probes as soon as its budget allows.
class probe_world {
public:
    explicit probe_world(const probe_rules& rules);
    std::string run(const standin::schedule& steps);
    std::size_t probes() const { return sent_.size(); }

private:
    using handler = void (probe_world::*)(const standin::step&);
    static const std::vector<handler>& handlers();

    // Word that an instance gets later.
    struct pending_word {
        waxwingvale::time_point at{};
        std::size_t entry = 0;
        std::size_t owner = 0;
        double share = 1;
    };

    void move_owner(const standin::step& of);
    void part(const standin::step& of);
    void heal(const standin::step& of);
    void restart(const standin::step& of);
    void pass_time(const standin::step& of);

    void announce(const standin::step& of);
    std::size_t owner_for(std::size_t entry) const;
    double share_of(std::size_t entry) const;
    void learn(const pending_word& word);
    void advance(waxwingvale::duration by);
    void probe_where_allowed();
    void check_windows();

    probe_rules rules_;
    waxwingvale::decision::probe_limits limits_;
    waxwingvale::time_point now_{};
    waxwingvale::time_point quiet_until_{}; // everyone has heard by then
    std::vector<waxwingvale::decision::probe_budget> entries_;
    std::vector<bool> far_side_;
    std::size_t rank_ = 0; // where the search for an owner begins
    std::vector<pending_word> pending_;
    std::vector<waxwingvale::time_point> sent_;
    std::string violated_;
};

} // namespace probe_model
