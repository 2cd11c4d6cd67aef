#include "decision/repeat_lenders.hpp"

#include <algorithm>

namespace waxwingvale::decision {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t peers_per_round = 16;
constexpr duration round_length = 25ms;
constexpr duration rest_after_nothing = 1s;
constexpr double least_useful = 0.5; // repeats given in a round

} // namespace

bool repeat_lenders::in_round(time_point now) const {
    return round_ > 0 && now < round_ends();
}

time_point repeat_lenders::round_ends() const {
    return began_ + round_length;
}

bool repeat_lenders::is_hopeful(time_point now) const {
    const bool rests = given_ < least_useful && round_ > 0;
    return in_round(now) || !rests || now - began_ >= rest_after_nothing;
}

std::vector<std::string>
repeat_lenders::begin_round(const std::set<std::string>& peers,
                            time_point now) {
    if (peers.empty() || in_round(now) || !is_hopeful(now)) {
        return {};
    }
    std::vector<std::string> asked(peers.begin(), peers.end());
    const auto first = asked.begin() + static_cast<long>(next_ % asked.size());
    std::rotate(asked.begin(), first, asked.end());
    asked.resize(std::min(asked.size(), peers_per_round));
    next_ += asked.size();
    ++round_;
    began_ = now;
    given_ = 0;
    unanswered_ = {asked.begin(), asked.end()};
    return asked;
}

std::optional<time_point> repeat_lenders::answered(const std::string& peer,
                                                   std::uint64_t round,
                                                   double amount) {
    if (round != round_ || unanswered_.erase(peer) == 0) {
        return std::nullopt;
    }
    given_ += amount;
    return began_;
}

} // namespace waxwingvale::decision
