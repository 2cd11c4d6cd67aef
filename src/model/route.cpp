#include <waxwingvale/model/route.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace waxwingvale {

std::string normal_host(std::string_view host) {
    const auto port = host.rfind(':');
    const bool is_port = port != host.npos && host.find(']', port) == host.npos;
    std::string normal(host.substr(0, is_port ? port : host.size()));
    std::transform(
        normal.begin(), normal.end(), normal.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normal;
}

route_table::route_table(std::vector<route> routes)
    : routes_(std::move(routes)) {
    for (std::size_t place = 0; place < routes_.size(); ++place) {
        const auto& each = routes_[place];
        hosts_[each.host].emplace(each.kind.path_prefix, place);
    }
}

// Prefixes end with a slash, so only the parts of the path that do can be one.
const route* route_table::find(std::string_view host,
                               std::string_view target) const {
    const auto found = hosts_.find(normal_host(host));
    if (found == hosts_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (auto slash = path.rfind('/'); slash != path.npos;
         slash = slash == 0 ? path.npos : path.rfind('/', slash - 1)) {
        const auto hit =
            found->second.find(std::string(path.substr(0, slash + 1)));
        if (hit != found->second.end()) {
            return &routes_[hit->second];
        }
    }
    return nullptr;
}

bool route_table::has_host(std::string_view host) const {
    return hosts_.count(normal_host(host)) != 0;
}

std::vector<std::string>
route_table::homes_of_host(std::string_view host) const {
    std::map<std::string, std::size_t> routes_at_home; // by region
    std::size_t with_homes = 0;
    const auto found = hosts_.find(normal_host(host));
    if (found == hosts_.end()) {
        return {};
    }
    for (const auto& each : found->second) {
        const auto& homes = routes_[each.second].kind.homes;
        with_homes += homes.empty() ? 0 : 1;
        for (const auto& region : homes) {
            ++routes_at_home[region];
        }
    }
    std::vector<std::string> of_all;
    std::vector<std::string> of_some;
    for (const auto& [region, count] : routes_at_home) {
        of_some.push_back(region);
        if (count == with_homes) {
            of_all.push_back(region);
        }
    }
    return of_all.empty() ? of_some : of_all;
}

} // namespace waxwingvale
