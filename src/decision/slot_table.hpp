#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "decision/backend_slots.hpp"

namespace waxwingvale::decision {

// What kind of slot a request can use.
struct slot_wish {
    const std::vector<std::string>* excluded = nullptr; // null: none
    bool isolated = false;
    bool may_sample = false; // it does no harm if it is slow or fails
    bool patient = false;    // other owners may yet lend it a better slot
    duration typical{};      // usual service time of the request's class
    duration backlog{};      // until the queue is worked off
};

// All backend servers of one service as this instance may use them: servers
// that it owns with all their slots, servers of an owner out of reach with a
// share, others not at all.
class slot_table {
public:
    using index = std::size_t;

    slot_table(member_id self, const scheduling_policy& policy);

    void apply(const service& of, const view_changed& view,
               const std::unordered_set<std::string>& reachable);

    std::optional<index> find(const std::string& backend_server) const;
    const backend_slots& at(index place) const { return servers_[place]; }
    const std::vector<backend_slots>& all() const { return servers_; }
    bool owned(index place) const { return owned_[place]; }
    bool owns_any() const { return !usable_.empty(); }

    // The best free slot, or none.
    std::optional<index> choose(const slot_wish& wish, time_point now) const;
    // Whether some server could ever take a request that excludes those.
    bool any_left(const std::vector<std::string>& excluded) const;
    // Whether that server may get a granted request.
    bool may_start(index place, const slot_wish& wish) const;

    void start(index place, time_point now, bool isolated);
    // An attempt that was started there ended; relative_log compares its
    // time with the usual.
    void finish(index place, time_point started_at, attempt_verdict verdict,
                double relative_log, time_point now);
    // A slot was given back without an attempt.
    void release(index place, time_point started_at, time_point now);

    // Slots that serve at the usual pace, and free ones among them.
    unsigned working_slots() const { return working_slots_; }
    unsigned idle_slots(time_point now) const;
    // The next moment at which a pause or a sample makes a slot free.
    std::optional<time_point> next_change(time_point now) const;

private:
    void apply_beliefs(const view_changed& view);
    void apply_ownership(const view_changed& view,
                         const std::unordered_set<std::string>& reachable);
    void configure_servers(const service& of);
    bool sampled(const backend_slots& server, const slot_wish& wish,
                 time_point now) const;
    bool admits(const backend_slots& server, const slot_wish& wish,
                time_point now) const;
    double cost(index place, const slot_wish& wish, time_point now) const;
    unsigned working_share(index place) const;
    bool only_passed_over() const;
    bool shuts_out_failing() const;

    member_id self_;
    std::string self_data_centre_;
    scheduling_policy policy_;
    bool configured_before_ = false;
    std::vector<backend_slots> servers_;
    std::vector<bool> owned_;
    std::vector<bool> near_; // in the data centre of this instance
    unsigned working_slots_ = 0;
    std::vector<index> usable_; // servers with an allowance
    std::size_t turn_ = 0;      // where among them the next choice begins
    std::unordered_map<std::string, index> by_name_;
};

} // namespace waxwingvale::decision
