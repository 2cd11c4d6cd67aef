#pragma once

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/backend_health.hpp"
#include "decision/cold_rate.hpp"

namespace waxwingvale::decision {

// Names one attempt on one backend server.
using attempt_ref = std::uint64_t;

// What was known when an attempt began.
struct attempt_start {
    attempt_ref ref = 0;
    time_point at{};
    unsigned running = 1; // requests on that server, this one included
    double slowness = 1;  // as the server last told
    // How old that word was; none: the server had told nothing.
    std::optional<duration> told_before;
};

// What a backend server last told of its load.
struct load_sighting {
    backend_load load;
    double log_slowness = 0; // of the load's
    time_point at{};
};

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
    const std::optional<load_sighting>& seen() const { return seen_; }
    void see(const backend_load& load, time_point now) {
        seen_ = load_sighting{load, std::log(load.slowness), now};
    }
    // Asked for its health it gave no answer, and has not been heard since.
    bool silent() const { return silent_; }
    void set_silent(bool silent) { silent_ = silent; }
    cold_rate& cold() { return cold_; }
    const cold_rate& cold() const { return cold_; }
    const backend_health& health() const { return health_; }
    backend_health& health() { return health_; }

    void configure(const backend_server& server);
    // A new incarnation begins cold, from one slot, and what was seen of the
    // former and runs on it is forgotten. Older ones are passed over.
    void set_incarnation(backend_incarnation incarnation);
    backend_incarnation incarnation() const { return incarnation_; }
    void start_cold() { usable_ = 1; }
    void set_vetoed(bool vetoed) { vetoed_ = vetoed; }
    bool vetoed() const { return vetoed_; }
    // Most requests that this instance may have in flight there, and how much
    // of that it may count on: others use the server too.
    void set_allowance(unsigned slots, double part) {
        allowance_ = slots;
        part_ = part;
    }
    double part() const { return part_; }

    unsigned limit() const;
    // Free slots now: none while vetoed, paused after a refusal, or taken
    // whole by an isolated request; fewer while it is cold.
    unsigned free(time_point now) const;
    time_point paused_until() const { return paused_until_; }

    void start(attempt_ref attempt, time_point now, bool isolated);
    // Ends the attempt; none when it is not known, as when its server has
    // started again since. One on a peer's slot, 0, never is, and counts.
    std::optional<attempt_start> finish(attempt_ref attempt,
                                        attempt_verdict verdict,
                                        const std::optional<backend_load>& load,
                                        time_point now,
                                        const scheduling_policy& policy);

private:
    void grow();
    void shrink(const scheduling_policy& policy);
    void pause(time_point now, const scheduling_policy& policy);

    std::string name_;
    std::string data_centre_;
    backend_incarnation incarnation_ = 0;
    unsigned configured_ = 0;
    unsigned usable_ = 0;
    unsigned allowance_ = 0;
    double part_ = 1;
    unsigned answers_ = 0; // since usable_ last changed
    // Rounds of answers before one more slot is tried: doubles when that slot
    // turns out to be taken, or every second round would be a refusal.
    unsigned caution_ = 1;
    bool vetoed_ = false;
    bool isolated_ = false;
    duration pause_{};
    time_point paused_until_{};
    bool silent_ = false;
    std::optional<load_sighting> seen_;
    std::vector<attempt_start> started_;
    backend_health health_;
    cold_rate cold_;
};

} // namespace waxwingvale::decision
