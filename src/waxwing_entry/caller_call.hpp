#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// Header names of the protocol with callers and backend servers.
namespace header {
constexpr const char* tenant = "Waxwing-Tenant";
constexpr const char* deadline = "Waxwing-Deadline-Ms";
constexpr const char* attempt = "Waxwing-Attempt";
constexpr const char* key = "Idempotency-Key";
constexpr const char* key_prefix = "Waxwing-Key-Prefix";
constexpr const char* outcome = "Waxwing-Outcome";
constexpr const char* reason = "Waxwing-Reason";
constexpr const char* route = "Waxwing-Route";
constexpr const char* retry_after = "Retry-After";
constexpr const char* retry_after_ms = "Waxwing-Retry-After-Ms";
constexpr const char* not_started = "Waxwing-Not-Started";
constexpr const char* backend_state = "Waxwing-Backend-State";
constexpr const char* backend_incarnation = "Waxwing-Backend-Incarnation";
} // namespace header

// The tenant of callers that name none.
constexpr const char* default_tenant = "default";

// A caller's request, understood: which service and class it belongs to and
// how long its caller waits for it.
struct caller_call {
    const service* of = nullptr;         // points into the configuration
    const request_class* kind = nullptr; // likewise
    std::string path;                    // what the backend server is asked for
    std::string tenant;
    std::optional<std::string> key;
    duration time_left{};
    // The attempt of the level above, when the caller is itself serving a
    // call: that level alone retries.
    std::optional<unsigned> attempt;
};

// Understands a request under a configuration. Fails with not_found when no
// service or class matches, and with invalid_argument when a header of the
// protocol does not parse; the error's peer is the caller.
result<caller_call> understand(const configuration& config,
                               const io::http_request& request);

} // namespace waxwingvale::entry
