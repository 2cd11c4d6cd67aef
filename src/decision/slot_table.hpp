#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "decision/backend_slots.hpp"
#include "decision/crowding_profile.hpp"
#include "decision/slowness_process.hpp"
#include "decision/work_forecast.hpp"

namespace waxwingvale::decision {

// What kind of slot a request can use.
struct slot_wish {
    const request_needs* request = nullptr; // null: may run anywhere
    bool isolated = false;
    bool may_sample = false; // it does no harm if it is slow or fails
    bool patient = false;    // other owners may yet lend it a better slot
    bool lent = false;       // to a peer: of the slots owned here only
    duration typical{};      // usual service time of the request's class
    duration backlog{};      // until the queue is worked off
    std::string data_centre; // of the instance that runs it
    // What an answer from another data centre costs, in parts of its worth.
    double crossing_loss = 0;
    // Set for a request whose answer is worth most within a time, together
    // with how much of that worth it may lose rather than wait on.
    std::optional<work_forecast> forecast;
    double tolerated_loss = 0;
};

// Whether the server is one that the request may ever run on.
bool may_run_on(const request_needs& request, const backend_slots& server);

// What was expected of an attempt that ended.
struct ended_attempt {
    unsigned running = 1;     // requests on that server when it began
    bool roomy = true;        // so few that they did not slow it down
    bool fairly_roomy = true; // or so few that they probably did not
    double crowding_log = 0;  // part of log_factor that is due to them
    // By how much its work was expected to take longer than usual, as a
    // logarithm, and whether that was known well enough to learn from.
    double log_factor = 0;
    bool certain = true;
    // Whether the usual time of its class is known, of servers that are not
    // crowded.
    bool comparable = true;
    // It ran on a process that another one has followed under the same name.
    bool of_former = false;
};

// A pace up to this counts as not slowed down; the usual one varies a little.
inline constexpr double prompt_slowness = 1.5;

// All backend servers of one service as this instance may use them: servers
// that it owns with all their slots, servers of an owner out of reach with a
// share, others not at all.
class slot_table {
public:
    using index = std::size_t;

    slot_table(member_id self, const scheduling_policy& policy);

    // The view's owners are to be those that act, see with_standbys().
    void apply(const service& of, const view_changed& view,
               const std::unordered_set<std::string>& reachable);

    std::optional<index> find(const std::string& backend_server) const;
    const backend_slots& at(index place) const { return servers_[place]; }
    const std::vector<backend_slots>& all() const { return servers_; }
    bool owned(index place) const { return owned_[place]; }
    // Whether slots are owned here, or at least a share of them may be used.
    bool owns_any() const { return owns_any_; }
    bool has_slots() const { return !usable_.empty(); }
    const slowness_process& pace() const { return pace_; }

    // The best free slot, or none; of all servers that may be used, or of
    // those.
    std::optional<index> choose(const slot_wish& wish, time_point now) const;
    std::optional<index> choose(const slot_wish& wish, time_point now,
                                const std::vector<index>& among) const;
    // The servers that may suit what they did not suit before, because a
    // request ended there or they were heard of, since this was last asked.
    // None: all may, since the table was applied anew.
    std::optional<std::vector<index>> take_changed();
    // Whether some server could ever take that request.
    bool any_left(const request_needs& request) const;
    // Whether that server may get a granted request.
    bool may_start(index place) const;

    // By how much work that begins there now is expected to take longer than
    // usual, as a logarithm.
    double expected_log_factor(index place) const;

    // Takes a slot; the attempt is named to finish() or release().
    attempt_ref start(index place, time_point now, bool isolated);
    // An attempt that was started there, or on a peer's slot there, which has
    // the number 0, ended.
    ended_attempt finish(index place, attempt_ref attempt,
                         attempt_verdict verdict,
                         const std::optional<backend_load>& load,
                         time_point now);
    // What its service time showed; relative_log compares it with what was
    // expected there.
    void learn(index place, const ended_attempt& ended, attempt_verdict verdict,
               double relative_log, time_point now);
    // A slot was given back without an attempt.
    void release(index place, attempt_ref attempt, time_point now);
    // A probe of that server ended.
    void probed(index place, const probe_ended& probe, time_point now);

    // Slots that serve at the usual pace, as far as failures and answers tell,
    // and free ones among them.
    unsigned working_slots() const;
    unsigned busy_slots() const;
    // The same, of slots that others use too a fair part only.
    double counted_slots() const;
    unsigned idle_slots(time_point now) const;
    bool any_idle(time_point now) const;
    // Whether one of those, or of all, has a free slot, whatever it is worth.
    bool any_room(const std::optional<std::vector<index>>& among,
                  time_point now) const;
    // Of those, the share whose servers are believed not to be slowed down
    // now; and all of them, each counted by the pace it works at. Both are in
    // slots that work at the usual pace.
    double prompt_slots(time_point now) const;
    double paced_slots(time_point now) const;
    // By how much work takes longer than usual while there is enough of it to
    // keep all servers at the number that does the most, as a logarithm.
    double busy_log_factor() const;
    // Servers of which nothing was heard for so long that a probe is worth its
    // while.
    std::vector<std::string> unheard(time_point now) const;
    // The next moment at which a pause or a sample makes a slot free.
    std::optional<time_point> next_change(time_point now) const;

private:
    static unsigned of_others(const backend_slots& server,
                              const std::optional<backend_load>& load);
    void apply_beliefs(const view_changed& view);
    void apply_ownership(const view_changed& view,
                         const std::unordered_set<std::string>& reachable);
    std::optional<unsigned> cold_part(bool owned, unsigned sharers) const;
    void configure_servers(const service& of);
    bool sampled(const backend_slots& server, const slot_wish& wish,
                 time_point now) const;
    bool admits(const backend_slots& server, const slot_wish& wish,
                time_point now) const;
    class timeliness;
    double cost(index place, const slot_wish& wish, timeliness* answers,
                time_point now) const;
    double time_cost(index place, const slot_wish& wish) const;
    double loss(const backend_slots& server, const slot_wish& wish,
                double chance, double holds) const;
    double chance(const backend_slots& server, double holds,
                  timeliness& answers) const;
    double word_holds(const backend_slots& server, time_point now) const;
    double expected_slowness(const backend_slots& server, double holds) const;
    double crowding_log(const backend_slots& server) const;
    struct known_slots;
    std::map<std::string, known_slots> known_by_centre(time_point now) const;
    duration probe_after(const backend_slots& server) const;
    void see(backend_slots& server, const backend_load& load, time_point now);
    std::optional<index> choose_from(const slot_wish& wish, time_point now,
                                     const std::vector<index>& among,
                                     std::size_t first) const;
    bool any_near(const std::string& data_centre) const;
    unsigned room(const backend_slots& server, time_point now) const;
    unsigned working_share(const backend_slots& server) const;
    double paced_share(const backend_slots& server) const;
    bool only_passed_over() const;
    bool shuts_out_failing() const;

    // Over all servers that may be used.
    struct totals {
        unsigned working = 0;
        double counted = 0;
        double busy_log_factor = 0;
    };
    struct estimates {
        time_point at{};
        double prompt = 0;
        double paced = 0;
    };
    const totals& now_total() const;
    estimates estimate(time_point now) const;
    const estimates& estimates_at(time_point now) const;
    void forget_sums() {
        totals_.reset();
        estimates_.reset();
    }
    // What is in flight there or known of the server is another than before.
    void note_change(index place);

    member_id self_;
    std::string self_data_centre_;
    scheduling_policy policy_;
    bool configured_before_ = false;
    std::optional<unsigned> cold_requests_; // of the service
    std::vector<backend_slots> servers_;
    std::vector<bool> owned_;
    bool owns_any_ = false;
    slowness_process pace_;
    crowding_profile crowding_;
    attempt_ref last_attempt_ = 0;
    std::vector<index> usable_; // servers with an allowance
    std::size_t turn_ = 0;      // where among them the next choice begins
    std::unordered_map<std::string, index> by_name_;
    bool all_changed_ = true;
    std::vector<index> changed_;           // each once
    mutable std::optional<totals> totals_; // none: to be added up
    mutable std::optional<estimates> estimates_;
};

} // namespace waxwingvale::decision
