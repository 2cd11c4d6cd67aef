#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include <waxwingvale/model/request_class.hpp>

namespace waxwingvale {

// One of the services that a route's requests are divided among.
struct route_target {
    std::string service;
    unsigned weight = 1; // its share, against those of the other targets

    friend bool operator==(const route_target& a, const route_target& b) {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
};

// Requests of one host below one path, and how they are treated: the class's
// name is the route's, its path prefix is matched together with the host.
struct route {
    std::string host; // lower case, without a port
    request_class kind;
    std::vector<route_target> targets; // at least one

    friend bool operator==(const route& a, const route& b) {
        return std::tie(a.host, a.kind, a.targets) ==
               std::tie(b.host, b.kind, b.targets);
    }
};

// The routes of one configuration, indexed by host and path.
class route_table {
public:
    explicit route_table(std::vector<route> routes);

    // The route of that host with the longest prefix that begins the path, or
    // null. The host is compared without regard to case, the path as it is;
    // a query does not count.
    const route* find(std::string_view host, std::string_view target) const;
    bool has_host(std::string_view host) const;
    // The regions that are homes of all routes of that host that have any, or
    // of some, if there is no such region; empty: none of them has homes.
    std::vector<std::string> homes_of_host(std::string_view host) const;
    const std::vector<route>& all() const { return routes_; }

private:
    using by_prefix = std::unordered_map<std::string, std::size_t>;

    std::vector<route> routes_;
    std::unordered_map<std::string, by_prefix> hosts_;
};

// A host as routes have it: lower case, without a port.
std::string normal_host(std::string_view host);

} // namespace waxwingvale
