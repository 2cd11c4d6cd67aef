#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include <waxwingvale/model/route.hpp>

namespace waxwingvale::entry {

// Divides the requests of a route among its services in the proportion of
// their weights, evenly over every stretch of requests and not only in the
// long run: by smooth weighted round robin, where each turn goes to the target
// that is furthest behind its share. What each is behind outlives a change of
// weights, and passes from targets that leave to those that come.
class target_choice {
public:
    // Instances begin at different points of a round, by their names.
    explicit target_choice(std::string self);

    const std::string& next(const std::string& route,
                            const std::vector<route_target>& targets);
    // Forgets routes that are not in the table, now and then.
    void follow(const route_table& routes);
    std::size_t routes_known() const { return routes_.size(); }

private:
    // Over all targets of a route these add up to nothing.
    struct arrears {
        std::string service;
        double requests = 0; // that it is behind its share
    };
    using turns = std::vector<arrears>;
    using candidates = std::vector<const route_target*>;

    static void follow(turns& of, const candidates& targets);
    static const route_target& take_turn(turns& of, const candidates& targets);

    std::string self_;
    std::unordered_map<std::string, turns> routes_;
};

} // namespace waxwingvale::entry
