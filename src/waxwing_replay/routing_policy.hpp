#pragma once

#include "waxwing_replay/replay_world.hpp"

namespace waxwingvale::replay {

// A way to route calls, to be measured against others.
class routing_policy {
public:
    virtual ~routing_policy() = default;
    // Called once, before the first call.
    virtual void begin(replay_world& world) = 0;
    virtual void arrive(const call& arrived) = 0;
    // Probes a second that each backend server gets.
    virtual double probe_rate() const { return 0; }
};

} // namespace waxwingvale::replay
