#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Whom this instance asks for a part of their budgets of repeated attempts, and
// when. It asks some peers at a time, in rounds; after a round in which none
// gave anything it rests. Does no I/O and reads no clock.
class repeat_lenders {
public:
    // Begins a round if it may; returns the peers to ask.
    std::vector<std::string> begin_round(const std::set<std::string>& peers,
                                         time_point now);
    // A peer has answered. Returns when its question was asked, or nothing if
    // the answer belongs to no question of the current round.
    std::optional<time_point> answered(const std::string& peer,
                                       std::uint64_t round, double amount);
    // Whether an answer may still come or a round may be begun.
    bool is_hopeful(time_point now) const;
    std::uint64_t round() const { return round_; }
    // When the current round ends, and the next may begin.
    time_point round_ends() const;

private:
    bool in_round(time_point now) const;

    std::uint64_t round_ = 0;
    time_point began_{};
    std::set<std::string> unanswered_;
    double given_ = 0; // in the current round
    std::size_t next_ = 0;
};

} // namespace waxwingvale::decision
