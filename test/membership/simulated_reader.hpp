#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <waxwingvale/membership/read_budget.hpp>

#include "simulated_platform.hpp"

namespace waxwingvale {

// Reads and watches the simulated platform at the pace, and with the pauses
// after failures, of an instance's real client.
class simulated_reader {
public:
    struct surroundings {
        // The time of the fleet, and what this instance does later.
        std::function<time_point()> now;
        std::function<void(duration, std::function<void()>)> after;
        std::function<void(std::optional<std::uint64_t>,
                           simulated_platform::handler)>
            ask;
        std::function<void(const platform_answer&)> on_reading;
        std::function<void(bool)> on_state;
    };

    simulated_reader(surroundings around, duration watch, std::uint64_t seed);

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

    surroundings around_;
    duration longest_watch_;
    membership::read_budget budget_;
    std::optional<std::uint64_t> listed_; // up to that revision
    std::uint64_t awaited_ = 0; // the read that is planned, or under way
    std::uint64_t reads_ = 0;
    bool paused_ = true;
};

} // namespace waxwingvale
