#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// What a process may assume of a sum that holds for the whole deployment and
// is counted in the memory of one process at a time: repeated attempts of a
// service, probes of a backend server, requests to a cold one.
//
// The one rule: a new holder assumes that its predecessors spent all that they
// might. What was spent before it began is unknown to it for one whole window,
// since no process outlives a kill and nothing is stored. Until then it uses
// only what no predecessor can have used: what was earned by requests that it
// received itself, and what a peer that has held its part for longer gives up.
class held_window {
public:
    // `began`: since when this process holds the sum.
    held_window(time_point began, duration window)
        : began_(began), window_(window) {}

    // Whether all that was spent in the last window was counted here.
    bool is_known(time_point now) const { return now - began_ >= window_; }
    time_point known_from() const { return began_ + window_; }

private:
    time_point began_;
    duration window_;
};

} // namespace waxwingvale::decision
