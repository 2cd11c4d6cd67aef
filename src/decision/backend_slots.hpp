#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "decision/backend_health.hpp"

namespace waxwingvale::decision {

// The slots of one backend server: how many there are, how many may be used
// now, and what is in flight.
class backend_slots {
public:
    explicit backend_slots(std::string name) : name_(std::move(name)) {}

    const std::string& name() const { return name_; }
    const std::string& data_centre() const { return data_centre_; }
    unsigned configured() const { return configured_; }
    unsigned in_flight() const {
        return static_cast<unsigned>(started_.size());
    }
    const backend_health& health() const { return health_; }
    backend_health& health() { return health_; }

    void configure(const backend_server& server);
    // A first or new incarnation is ramped up from one slot when cold.
    void set_incarnation(std::uint64_t incarnation);
    void start_cold() { usable_ = 1; }
    void set_vetoed(bool vetoed) { vetoed_ = vetoed; }
    bool vetoed() const { return vetoed_; }
    // Most requests that this instance may have in flight there.
    void set_allowance(unsigned slots) { allowance_ = slots; }

    unsigned limit() const;
    // Free slots now: none while vetoed, paused after a refusal, or taken
    // whole by an isolated request.
    unsigned free(time_point now) const;
    time_point paused_until() const { return paused_until_; }

    void start(time_point now, bool isolated);
    void finish(time_point started_at, attempt_verdict verdict, time_point now,
                const scheduling_policy& policy);

private:
    void grow();
    void shrink(time_point now, const scheduling_policy& policy);

    std::string name_;
    std::string data_centre_;
    std::uint64_t incarnation_ = 0;
    unsigned configured_ = 0;
    unsigned usable_ = 0;
    unsigned allowance_ = 0;
    unsigned answers_ = 0; // since usable_ last changed
    // Rounds of answers before one more slot is tried: doubles when that slot
    // turns out to be taken, or every second round would be a refusal.
    unsigned caution_ = 1;
    bool vetoed_ = false;
    bool isolated_ = false;
    duration pause_{};
    time_point paused_until_{};
    std::vector<time_point> started_;
    backend_health health_;
};

} // namespace waxwingvale::decision
