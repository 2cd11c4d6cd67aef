#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet_simulation.hpp"

namespace waxwingvale {

// Checks which configurations the instances of a simulated fleet have in force,
// and records the first violation that callers would notice: an instance that
// returns to an older configuration or keeps an old one for too long.
class configuration_checker {
public:
    explicit configuration_checker(const fleet_simulation& fleet);

    // Must be called every 100 ms of simulated time.
    void check();
    const std::optional<std::string>& violation() const { return violation_; }
    // The longest time that an instance in contact with a readable platform had
    // an outdated configuration in force.
    duration longest_delay() const { return longest_delay_; }

private:
    struct watched_instance {
        std::uint64_t life = 0;
        std::uint64_t revision = 0;
        bool introduced = false;
        std::optional<time_point> up_since; // running and not frozen
        // Since when it has been linked with an instance that can read the
        // platform.
        std::optional<time_point> in_contact_since;
        // The newest revision that peers had announced at the last check.
        std::uint64_t announced = 0;
    };

    void check_instance(unsigned number, const instance_standing& seen);
    void check_contact(unsigned number, bool linked, bool readable);
    void check_delay(unsigned number, std::uint64_t revision);
    bool can_read(unsigned number) const;
    void record_violation(unsigned number, const std::string& what);

    const fleet_simulation& fleet_;
    std::vector<watched_instance> instances_;
    std::optional<std::string> violation_;
    duration longest_delay_{};
};

} // namespace waxwingvale
