#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/membership/peer_exchange.hpp>

namespace waxwingvale {

enum class world_step {
    pass_time,
    crash,
    restart, // with a new incarnation, if the instance has crashed
    pause,   // the process is suspended and keeps its state
    resume,
    cut_link, // between two instances
    restore_link,
    leave,
    deliver,           // any message in flight
    deliver_duplicate, // and keep the message in flight
    drop               // any message in flight
};
constexpr unsigned world_step_count = 11;

struct world_event {
    world_step step;
    unsigned instance;
    unsigned choice;
};

// Simulates entry instances with all their tables, and a network between them
// that reorders, duplicates and drops messages.
class membership_world {
public:
    membership_world(unsigned instances,
                     std::shared_ptr<const membership::member_precedence> rule);
    ~membership_world();

    void run(const world_event& event);
    // Ends all faults except crashes, then runs for 100 seconds.
    void settle();
    const std::optional<std::string>& violation() const { return violation_; }
    // After settle(): returns a difference, unless all running instances agree
    // that exactly they are alive, in their present incarnations, and unless
    // all have caught up with their peers since they were resumed.
    std::optional<std::string> disagreement() const;

private:
    struct instance;
    struct message {
        unsigned from;
        unsigned to;
        membership::exchange_message body;
    };

    std::string name_of(unsigned number) const;
    void start(unsigned number);
    void crash(unsigned number);
    void resume(unsigned number);
    void set_link(unsigned a, unsigned b, bool up);
    bool can_link(unsigned a, unsigned b) const;
    void pass_time(duration time);
    void collect_messages(unsigned number);
    void deliver(std::size_t index, bool keep);
    void deliver_all();
    void check_invariants(unsigned number);

    std::shared_ptr<const membership::member_precedence> rule_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::set<std::pair<unsigned, unsigned>> cut_links_;
    std::deque<message> in_flight_;
    std::uint64_t wall_clock_ = 1000;
    time_point now_{};
    std::optional<std::string> violation_;
};

} // namespace waxwingvale
