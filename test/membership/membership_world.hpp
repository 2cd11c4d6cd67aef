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
    start_again, // a new incarnation, if it had crashed
    pause,       // hears and says nothing, keeps what it knows
    wake,
    cut, // the link between two breaks
    heal,
    leave,
    deliver, // any message under way
    deliver_doubled,
    lose
};
constexpr unsigned world_step_count = 11;

struct world_event {
    world_step step;
    unsigned instance;
    unsigned choice;
};

// Entry instances with all that they know of each other, and a network between
// them that reorders, doubles and loses.
class membership_world {
public:
    membership_world(unsigned instances,
                     std::shared_ptr<const membership::member_precedence> rule);
    ~membership_world();

    void run(const world_event& event);
    // Ends all faults but crashes, and lets 100 seconds pass.
    void settle();
    const std::optional<std::string>& violation() const { return violation_; }
    // After settle(): all that run agree that exactly they run, in their
    // present lives, and have heard of each other since they woke.
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
    void stop(unsigned number);
    void wake(unsigned number);
    void set_link(unsigned a, unsigned b, bool up);
    bool joined(unsigned a, unsigned b) const;
    void pass_time(duration time);
    void collect(unsigned number);
    void deliver(std::size_t place, bool keep);
    void deliver_all();
    void check(unsigned number);

    std::shared_ptr<const membership::member_precedence> rule_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::set<std::pair<unsigned, unsigned>> cut_;
    std::deque<message> under_way_;
    std::uint64_t wall_clock_ = 1000;
    time_point now_{};
    std::optional<std::string> violation_;
};

} // namespace waxwingvale
