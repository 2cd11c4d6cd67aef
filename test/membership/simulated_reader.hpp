#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <waxwingvale/membership/read_budget.hpp>

#include "simulated_platform.hpp"

namespace waxwingvale {

// Reads and watches the simulated platform with the same read budget and
// backoff as an instance's real client.
class simulated_reader {
public:
    // How the reader reaches the simulation, and what it reports to its
    // instance.
    struct callbacks {
        std::function<time_point()> now; // the time of the simulation
        // Runs the function on this instance after a delay.
        std::function<void(duration, std::function<void()>)> schedule_after;
        // Lists, or watches after a revision.
        std::function<void(std::optional<std::uint64_t>,
                           simulated_platform::answer_handler)>
            read;
        std::function<void(const platform_answer&)> on_answer;
        // Called with whether the latest read was answered.
        std::function<void(bool)> on_platform_state;
    };

    simulated_reader(callbacks calls, duration watch_timeout,
                     std::uint64_t seed);

    void set_share(membership::read_share share);
    void read_again();
    void pause() { paused_ = true; }
    void resume();
    bool paused() const { return paused_; }

private:
    void read_when_allowed();
    void read();
    void finish(const platform_answer& answer);
    void fail();

    callbacks calls_;
    duration watch_timeout_;
    membership::read_budget budget_;
    std::optional<std::uint64_t> known_revision_; // empty: list before watching
    std::uint64_t current_read_ = 0; // number of the planned or pending read
    std::uint64_t read_count_ = 0;
    bool paused_ = true;
};

} // namespace waxwingvale
