#pragma once

#include <cstddef>
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
    duration deadline{};         // longest time to an answer; 0: the caller's
    std::size_t queue_limit = 0; // most requests waiting in one entry instance
    duration target_latency{};   // an answer is worth most within it; 0: none
    unsigned max_attempts = 0;   // backend servers one request may reach; 0:
                                 // as many as the budget of retries allows
    unsigned priority = 0;       // 0 goes first when slots are short
    // Regions whose backend servers may run it; empty: all.
    std::vector<std::string> homes{};
};

bool operator==(const request_class& a, const request_class& b);

} // namespace waxwingvale
