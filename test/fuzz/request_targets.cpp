#include "request_targets.hpp"

#include <nlohmann/json.hpp>
#include <sstream>
#include <waxwingvale/administration/admin_api.hpp>
#include <waxwingvale/decision/idempotency_key.hpp>

#include "administration/sample_snapshot.hpp"
#include "entry/own_protocol.hpp"
#include "fuzz_target.hpp"

using namespace waxwingvale;

namespace {

constexpr const char* token = "a-token-of-length";

io::http_request to_request(const std::string& input) {
    io::http_request request;
    std::istringstream lines(input);
    std::getline(lines, request.method);
    std::getline(lines, request.target);
    for (std::string line; std::getline(lines, line) && !line.empty();) {
        const auto colon = line.find(':');
        const auto value =
            colon == std::string::npos ? "" : line.substr(colon + 1);
        request.headers.push_back({line.substr(0, colon), value});
    }
    const auto at = lines.tellg();
    request.body = at < 0 ? "" : input.substr(static_cast<std::size_t>(at));
    request.peer = "10.0.0.9";
    return request;
}

} // namespace

void run_caller_headers(const std::string& input) {
    static const auto snapshot = sample_snapshot();
    const auto understood = entry::own_protocol().understand(
        *snapshot.seen->config, to_request(input));
    if (!understood) {
        must_hold(understood.error().peer == "10.0.0.9",
                  "an error names the caller");
        return;
    }
    const auto& call = understood.value();
    must_hold(!call.targets.empty() && !call.kind.name.empty(),
              "a class matched");
    must_hold(!call.target.empty() && call.target.front() == '/',
              "the backend server is asked for a path");
    must_hold(call.time_left >= duration::zero(), "time left is a wait");
    must_hold(call.time_left <= std::chrono::hours(24), "and has a bound");
    must_hold(!call.tenant.empty(), "a call has a tenant");
}

std::vector<std::string> caller_headers_seeds() {
    return {"GET\n/assign-desk/games?day=5\nWaxwing-Tenant:leagues\n"
            "Waxwing-Deadline-Ms:250\n\n",
            "POST\n/assign-desk/\nWaxwing-Tenant:leagues\nWaxwing-Attempt:2\n"
            "Idempotency-Key:sea-1.100-3.phone.1\n\nbody"};
}

void run_request_key(const std::string& input) {
    const auto parsed = decision::parse_idempotency_key(input);
    if (parsed) {
        must_hold(input.size() <= decision::max_idempotency_key_bytes,
                  "a long key is refused");
        must_hold(!parsed->holder.name.empty(), "a key names its holder");
    }
    const auto joined = decision::prefixed_key("sea-1.100-3", input);
    const auto named = decision::parse_idempotency_key(joined);
    must_hold(!named || named->holder == member_id{"sea-1", 100},
              "a plain key cannot name another holder");
}

std::vector<std::string> request_key_seeds() {
    return {"sea-1.100-3.phone.1", "sea-1.100.phone.1", "plain key/7"};
}

void run_admin_request(const std::string& input) {
    static const program::metrics metrics;
    static const administration::admin_api api(token, metrics, sample_snapshot);
    auto request = to_request(input);
    const auto refused = api.answer(request);
    must_hold(refused.status == 401 || request.target == "/metrics" ||
                  request.target == "/healthz" ||
                  request.target.rfind("/metrics?", 0) == 0 ||
                  request.target.rfind("/healthz?", 0) == 0,
              "no document without the token");
    request.headers = {{"Authorization", std::string("Bearer ") + token}};
    const auto answer = api.answer(request);
    const bool json = nlohmann::json::accept(answer.body);
    must_hold(json || refused.status != 401, "documents are JSON");
}

std::vector<std::string> admin_request_seeds() {
    return {"GET\n/v1/status\n\n", "GET\n/v1/backends?x=%41\n\n",
            "GET\n/v1/explain?service=assign-desk&method=POST&path=%2Fm"
            "&tenant=leagues\n\n",
            "POST\n/v1/check?file=next%20one.json\n\n{\"services\": []}"};
}
