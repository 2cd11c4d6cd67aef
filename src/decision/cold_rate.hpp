#pragma once

#include <optional>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// How often requests may be sent to one backend server while it is cold: it
// crashes when it gets more in a second than it bears. Starts are noted also
// while it is warm, for it may turn cold at any moment. Pure.
class cold_rate {
public:
    // Most requests in any second from this instance; none: no bound.
    void set_most(std::optional<unsigned> most);
    // What the registry says. Said again, it does not undo newer word of the
    // server itself.
    void set_listed_until(time_point until);
    // What the server says of itself.
    void set_cold_until(time_point until) { cold_until_ = until; }

    bool is_cold(time_point now) const { return now < cold_until_; }
    // How many more may be sent now; none: as many as there are slots.
    std::optional<unsigned> room(time_point now) const;
    // When there is room again; none: there is some.
    std::optional<time_point> next_room(time_point now) const;
    void started(time_point now);

private:
    std::optional<unsigned> most_;
    time_point listed_until_{};
    time_point cold_until_{};
    // The last ones, `most_` of them. Few, and none for most servers: a deque
    // allocates also when it is empty and when it is moved from.
    std::vector<time_point> starts_;
};

} // namespace waxwingvale::decision
