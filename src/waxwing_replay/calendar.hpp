#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::replay {

// What happens when, in model time. Things due at one moment happen in the
// order in which they were entered, so that a run repeats exactly.
class calendar {
public:
    using task = std::function<void()>;

    time_point now() const { return now_; }
    void at(time_point when, task what);
    void after(duration delay, task what) { at(now_ + delay, what); }
    // Runs everything due until that moment.
    void run_until(time_point end);

private:
    struct entry {
        time_point when;
        std::uint64_t sequence;
        task what;
        bool operator<(const entry& other) const;
    };

    time_point now_{};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<entry> entries_;
};

} // namespace waxwingvale::replay
