#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// Whether a request may be run again when its outcome is not known.
enum class request_nature {
    retriable,   // reads: running twice does no harm
    at_most_once // bookings, payments, reprints: never run twice
};

// Which requests of a service belong together, and how they are treated.
struct request_class {
    std::string name;
    std::vector<std::string> methods; // HTTP methods, upper case
    std::string path_prefix;          // below the service, begins with '/'
    request_nature nature = request_nature::at_most_once;
    duration deadline{};         // when the caller names none
    std::size_t queue_limit = 0; // most requests waiting in one entry instance
};

// One process that runs requests, and how many it serves at once.
struct backend_server {
    std::string name; // unique within the file
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned slots = 1;        // requests served at once
    unsigned connections = 64; // most connections open over all entry instances
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
};

// A data centre and the region it lies in.
struct data_centre {
    std::string name;
    std::string region;
};

// One configuration file, accepted whole. The revision is the platform's: it
// rises with every publication and orders files everywhere.
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
};

bool operator==(const request_class& a, const request_class& b);
bool operator==(const backend_server& a, const backend_server& b);
bool operator==(const tenant& a, const tenant& b);
bool operator==(const service_budgets& a, const service_budgets& b);
bool operator==(const service& a, const service& b);
bool operator==(const data_centre& a, const data_centre& b);
bool operator==(const configuration& a, const configuration& b);

// How configurations are passed about: shared and never changed.
using configuration_ptr = std::shared_ptr<const configuration>;

// The service of that name, or null.
const service* find_service(const configuration& config,
                            const std::string& name);

// The first class of the service that matches, or null.
const request_class* find_class(const service& of, const std::string& method,
                                const std::string& path);

} // namespace waxwingvale
