#include "entry/target_choice.hpp"

#include <algorithm>

namespace waxwingvale::entry {

const std::string&
target_choice::next(const std::string& route,
                    const std::vector<route_target>& targets) {
    if (targets.size() == 1) {
        return targets.front().service;
    }
    auto& turn = routes_[route];
    if (!(turn.targets == targets)) {
        turn.targets = targets;
        turn.behind.assign(targets.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        turn.behind[i] += targets[i].weight;
        total += targets[i].weight;
    }
    const auto furthest =
        std::max_element(turn.behind.begin(), turn.behind.end());
    *furthest -= total;
    const auto place = std::distance(turn.behind.begin(), furthest);
    return targets[static_cast<std::size_t>(place)].service;
}

} // namespace waxwingvale::entry
