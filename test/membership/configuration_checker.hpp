#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet_simulation.hpp"

namespace waxwingvale {

// Watches which configurations the instances of a simulated fleet have in
// force, and tells the first that callers would notice.
class configuration_checker {
public:
    explicit configuration_checker(const fleet_simulation& fleet);

    // To be called every 100 ms of the fleet's time.
    void look();
    const std::optional<std::string>& violation() const { return violation_; }
    // The longest that one that had been in touch was behind.
    duration most_behind() const { return most_behind_; }

private:
    struct watched_instance {
        std::uint64_t life = 0;
        std::uint64_t revision = 0;
        bool introduced = false;
        std::optional<time_point> up_since; // running and not frozen
        std::optional<time_point> in_touch_since;
        std::uint64_t named = 0; // at the last look
    };

    void look_at(unsigned number, const instance_standing& seen);
    void look_at_touch(unsigned number, bool linked, bool readable);
    void look_at_age(unsigned number, std::uint64_t revision);
    bool can_read(unsigned number) const;
    void tell(unsigned number, const std::string& what);

    const fleet_simulation& fleet_;
    std::vector<watched_instance> instances_;
    std::optional<std::string> violation_;
    duration most_behind_{};
};

} // namespace waxwingvale
