#pragma once

#include <string>
#include <unordered_map>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::entry {

// How long the callers of each class wait in all. A caller that was refused
// and comes back says only how long it still waits; the answer is worth most
// within a time from its first call, so how much of that has gone is told from
// how much less it waits than others of its class.
class caller_patience {
public:
    // For how long this caller has been at it, from what it says that it
    // waits.
    duration spent_before(const std::string& request_class, duration waits,
                          time_point now);

    std::size_t classes_known() const { return classes_.size(); }

private:
    // The longest wait named in this window and in the one before it.
    struct longest_wait {
        time_point window_from{};
        duration current{};
        duration former{};
    };

    void forget_idle(time_point now);

    std::unordered_map<std::string, longest_wait> classes_;
    time_point looked_for_idle_{};
};

} // namespace waxwingvale::entry
