#pragma once

#include <cstddef>
#include <tuple>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// What one connection of a caller holds of an instance's memory.
struct held_connection {
    std::size_t bytes = 0;
    // Its request is with the instance; one that is still read can be refused
    // as not run, for certain.
    bool handed_over = false;
    time_point since{}; // of its last step: a head, a whole request, an answer

    friend bool operator==(const held_connection& a, const held_connection& b) {
        return std::tie(a.bytes, a.handed_over, a.since) ==
               std::tie(b.bytes, b.handed_over, b.since);
    }
};

// Which connections to give up, by their places, so that at least `excess`
// bytes come free, or all that may be given up. Those that hold most go first;
// of those that hold about as much, the ones whose requests can be refused,
// and of these the ones without a step for longest. Nobody who holds less than
// `spared` bytes goes: an ordinary caller holds little, and for a short time.
std::vector<std::size_t> choose_to_shed(const std::vector<held_connection>& all,
                                        std::size_t excess, std::size_t spared);

// A connection that nobody needs at this moment, or may.
struct open_connection {
    // Whether it has brought a whole request since it was opened.
    bool proven = false;
    time_point since{};
};

// Which of the connections without an open request makes room for a new one, by
// its place; the size of `all` if there is none. One that has brought no
// request yet goes before one that has, and the longest unchanged first: an
// ordinary caller sends its request with its connection.
std::size_t choose_to_replace(const std::vector<open_connection>& all);

} // namespace waxwingvale::decision
