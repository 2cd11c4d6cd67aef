#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <waxwingvale/model/route.hpp>

namespace waxwingvale::entry {

// Divides the requests of a route among its services in the proportion of
// their weights, evenly over every stretch of requests and not only in the
// long run: by smooth weighted round robin, where each turn goes to the target
// that is furthest behind its share.
class target_choice {
public:
    const std::string& next(const std::string& route,
                            const std::vector<route_target>& targets);

private:
    struct turns {
        std::vector<route_target> targets;
        std::vector<double> behind;
    };

    std::unordered_map<std::string, turns> routes_;
};

} // namespace waxwingvale::entry
