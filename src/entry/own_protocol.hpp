#pragma once

#include <waxwingvale/entry/request_protocol.hpp>

namespace waxwingvale::entry {

// Header names of the product's own protocol with callers and backend servers;
// docs/operations/caller-protocol.md tells what each means.
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
constexpr const char* backend_limit = "Waxwing-Backend-Limit";
} // namespace header

// The product's own protocol: the first segment of the path names the service,
// and headers of ours carry deadlines, keys and outcomes.
class own_protocol : public request_protocol {
public:
    result<caller_call>
    understand(const configuration& config,
               const io::http_request& request) const override;
    // Copies of one request carry the same key.
    bool may_be_resent(const io::http_request& request) const override;
    // Those of ours are left out of every fingerprint.
    bool is_of_one_attempt(const std::string&) const override { return false; }
    io::http_headers backend_headers(const io::http_headers& from_caller,
                                     const attempt_facts& facts) const override;
    std::optional<forwarding::echoed_header>
    echo_of(const attempt_facts& facts) const override;
    backend_answer
    classify(const forwarding::backend_result& ended) const override;
    io::http_response render(const own_answer& answer) const override;
    bool promises_not_run(const io::http_response& answer) const override;
    io::http_response pass_on(io::http_response answer,
                              const std::string& path_taken) const override;
    std::string health_target(const service& of) const override;
    backend_answer
    classify_health(const forwarding::backend_result& ended,
                    const std::string& backend_server) const override;
};

} // namespace waxwingvale::entry
