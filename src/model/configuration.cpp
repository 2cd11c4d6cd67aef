#include <waxwingvale/model/configuration.hpp>

#include <algorithm>
#include <tuple>

namespace waxwingvale {

bool operator==(const request_class& a, const request_class& b) {
    return std::tie(a.name, a.methods, a.path_prefix, a.nature, a.deadline,
                    a.queue_limit, a.target_latency, a.max_attempts, a.priority,
                    a.homes) == std::tie(b.name, b.methods, b.path_prefix,
                                         b.nature, b.deadline, b.queue_limit,
                                         b.target_latency, b.max_attempts,
                                         b.priority, b.homes);
}

bool operator==(const backend_server& a, const backend_server& b) {
    return std::tie(a.name, a.host, a.port, a.data_centre, a.slots,
                    a.connections, a.cold_until, a.incarnation) ==
           std::tie(b.name, b.host, b.port, b.data_centre, b.slots,
                    b.connections, b.cold_until, b.incarnation);
}

bool operator==(const tenant& a, const tenant& b) {
    return std::tie(a.name, a.share) == std::tie(b.name, b.share);
}

bool operator==(const service_budgets& a, const service_budgets& b) {
    const auto fields = [](const service_budgets& of) {
        return std::tie(of.retries, of.hedges, of.probes, of.repeats,
                        of.repeat_window, of.repeat_extra);
    };
    return fields(a) == fields(b);
}

bool operator==(const service& a, const service& b) {
    return std::tie(a.name, a.classes, a.backend_servers, a.budgets, a.owners,
                    a.typical_time, a.tenants, a.health_path, a.connections,
                    a.cold_requests) ==
           std::tie(b.name, b.classes, b.backend_servers, b.budgets, b.owners,
                    b.typical_time, b.tenants, b.health_path, b.connections,
                    b.cold_requests);
}

bool operator==(const data_centre& a, const data_centre& b) {
    return std::tie(a.name, a.region, a.evacuated) ==
           std::tie(b.name, b.region, b.evacuated);
}

namespace {

bool same_routes(const std::shared_ptr<const route_table>& a,
                 const std::shared_ptr<const route_table>& b) {
    return a == b || (a && b && a->all() == b->all());
}

} // namespace

bool operator==(const configuration& a, const configuration& b) {
    return same_routes(a.routes, b.routes) &&
           std::tie(a.schema_version, a.revision, a.data_centres, a.tenants,
                    a.services, a.key_lifetime, a.key_limit, a.address_keep_min,
                    a.address_keep_max, a.limits) ==
               std::tie(b.schema_version, b.revision, b.data_centres, b.tenants,
                        b.services, b.key_lifetime, b.key_limit,
                        b.address_keep_min, b.address_keep_max, b.limits);
}

std::optional<std::vector<std::string>>
data_centres_of(const std::vector<std::string>& homes,
                const std::vector<data_centre>& among) {
    if (homes.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    for (const data_centre& each : among) {
        if (std::find(homes.begin(), homes.end(), each.region) != homes.end()) {
            names.push_back(each.name);
        }
    }
    return names;
}

const service* find_service(const configuration& config,
                            const std::string& name) {
    const auto found =
        std::find_if(config.services.begin(), config.services.end(),
                     [&](const service& s) { return s.name == name; });
    return found == config.services.end() ? nullptr : &*found;
}

const request_class* find_class(const service& of, const std::string& method,
                                const std::string& path) {
    const auto matches = [&](const request_class& c) {
        const bool method_listed = std::find(c.methods.begin(), c.methods.end(),
                                             method) != c.methods.end();
        return method_listed &&
               path.compare(0, c.path_prefix.size(), c.path_prefix) == 0;
    };
    const auto found =
        std::find_if(of.classes.begin(), of.classes.end(), matches);
    return found == of.classes.end() ? nullptr : &*found;
}

} // namespace waxwingvale
