#include <waxwingvale/decision/check_targets.hpp>

#include <algorithm>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

// Those that have not failed first, and else in an order of the round's own.
std::vector<check_target> servers_in_turn(const configuration& config,
                                          const std::set<std::string>& failed,
                                          std::uint64_t round) {
    std::vector<check_target> all;
    for (const auto& of : config.services) {
        for (const auto& server : of.backend_servers) {
            all.push_back({&of, &server});
        }
    }
    const auto rank = [&](const check_target& each) {
        return std::make_pair(failed.count(each.server->name),
                              stable_hash(each.server->name, round));
    };
    std::sort(all.begin(), all.end(),
              [&](const check_target& a, const check_target& b) {
                  return rank(a) < rank(b);
              });
    return all;
}

} // namespace

std::vector<check_target> servers_to_check(const configuration& of,
                                           const std::set<std::string>& failed,
                                           std::uint64_t round) {
    std::vector<check_target> chosen;
    const auto likeness = [&](const check_target& each) {
        const auto is_like = [&](const check_target& other) {
            return other.of == each.of ||
                   other.server->data_centre == each.server->data_centre;
        };
        const auto alike = std::count_if(chosen.begin(), chosen.end(), is_like);
        return std::make_pair(failed.count(each.server->name), alike);
    };
    auto left = servers_in_turn(of, failed, round);
    while (chosen.size() < servers_of_a_check && !left.empty()) {
        const auto next =
            std::min_element(left.begin(), left.end(),
                             [&](const check_target& a, const check_target& b) {
                                 return likeness(a) < likeness(b);
                             });
        chosen.push_back(*next);
        left.erase(next);
    }
    return chosen;
}

} // namespace waxwingvale::decision
