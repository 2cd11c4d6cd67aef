#pragma once

#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/request_class.hpp>
#include <waxwingvale/model/route.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::entry {

// A caller's request, understood: which services may run it, of which class it
// is, and how long its caller waits for it.
struct caller_call {
    std::vector<route_target> targets; // at least one
    request_class kind;
    std::string target; // path and query that the backend server is asked for
    // What the caller's target is relative to: a host, or the service that it
    // names. It stays the same whatever service runs the request.
    std::string authority;
    std::string tenant;
    std::string id; // names the request in log lines
    std::optional<std::string> key;
    duration time_left{}; // until caller or operator waits no longer
    // How long the caller said that it waits, where it said so.
    std::optional<duration> caller_waits;
    // The attempt of the level above, when the caller is itself serving a
    // call: that level alone retries.
    std::optional<unsigned> attempt;
};

// The tenant of callers that name none.
constexpr const char* default_tenant = "default";

} // namespace waxwingvale::entry
