#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/backend_incarnation.hpp>
#include <waxwingvale/model/caller_limits.hpp>
#include <waxwingvale/model/request_class.hpp>
#include <waxwingvale/model/route.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// One process that runs requests, and how many it serves at once.
struct backend_server {
    std::string name; // unique within the file
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned slots = 1;        // requests served at once
    unsigned connections = 64; // most connections open over all entry instances
    // Until then it is slower than usual and bears few requests a second.
    time_point cold_until{};
    // Rises with each start under the same name; 0: not known.
    backend_incarnation incarnation = 0;
};

// A tenant and its weight when slots are short.
struct tenant {
    std::string name;
    unsigned share = 1;
};

// Budgets that bound extra work on behalf of a service.
struct service_budgets {
    double retries = 0.1; // retries as a fraction of first attempts
    double hedges = 0.05; // hedges as a fraction of first attempts
    double probes = 0.1;  // probes a second to one backend server, from all
                          // entry instances together; 0 turns probing off
    // Retries and hedges together, over all entry instances: in any window as
    // long as this at most that fraction of the requests, and so many more. A
    // fraction of 0 stands for the two above together.
    double repeats = 0;
    duration repeat_window = std::chrono::seconds(10);
    unsigned repeat_extra = 20;
};

// A service: its classes in match order (first wins) and backend servers.
struct service {
    std::string name; // the first segment of the callers' path
    std::vector<request_class> classes;
    std::vector<backend_server> backend_servers;
    service_budgets budgets;
    unsigned owners = 0;     // entry instances that own its slots; 0: derived
    duration typical_time{}; // expected service time before any was seen
    std::vector<std::string> tenants; // may call it; empty: all
    std::string health_path;          // empty: the protocol's own
    unsigned connections = 64;        // for backend servers that are discovered
    // Most requests in any second to one backend server while it is cold, from
    // all instances together; none: no bound.
    std::optional<unsigned> cold_requests;
};

// A data centre and the region it lies in.
struct data_centre {
    std::string name;
    std::string region;
    bool evacuated = false; // nothing may be sent to its backend servers
};

// One configuration file, accepted whole. The revision rises with every
// publication and orders files everywhere: it is the operator's own number
// where a file bears one, else the platform's revision.
struct configuration {
    unsigned schema_version = 1;
    std::uint64_t revision = 0;
    std::vector<data_centre> data_centres;
    std::vector<tenant> tenants;
    std::vector<service> services;
    duration key_lifetime{};     // how long a request key is remembered
    std::size_t key_limit = 0;   // most request keys held by one entry instance
    duration address_keep_min{}; // callers keep an address at least this long
    duration address_keep_max{}; // and at most this long
    // Set when requests are routed by host and path; without, the first
    // segment of the path names the service.
    std::shared_ptr<const route_table> routes;
    // What callers may send; without, the settings decide.
    std::optional<caller_limits> limits;
};

bool operator==(const backend_server& a, const backend_server& b);
bool operator==(const tenant& a, const tenant& b);
bool operator==(const service_budgets& a, const service_budgets& b);
bool operator==(const service& a, const service& b);
bool operator==(const data_centre& a, const data_centre& b);
bool operator==(const configuration& a, const configuration& b);

// How configurations are passed about: shared and never changed.
using configuration_ptr = std::shared_ptr<const configuration>;

// The data centres that lie in one of those regions; none: any may be used, for
// there are no regions to keep to.
std::optional<std::vector<std::string>>
data_centres_of(const std::vector<std::string>& homes,
                const std::vector<data_centre>& among);

// The service of that name, or null.
const service* find_service(const configuration& config,
                            const std::string& name);

// The first class of the service that matches, or null.
const request_class* find_class(const service& of, const std::string& method,
                                const std::string& path);

} // namespace waxwingvale
