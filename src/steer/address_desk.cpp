#include "steer/address_desk.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <waxwingvale/decision/idempotency_key.hpp>
#include <waxwingvale/decision/stable_hash.hpp>
#include <waxwingvale/decision/steering.hpp>

#include "io/query.hpp"

namespace waxwingvale::steer {

namespace {

using nlohmann::json;

constexpr const char* addresses_path = "/v1/addresses";
constexpr const char* caller_header = "Waxwing-Caller";
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

io::http_response problem(unsigned status, const std::string& what) {
    io::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    if (status == status_unavailable) {
        response.headers.push_back({"Retry-After", "1"});
    }
    response.body = json({{"error", what}}).dump() + "\n";
    return response;
}

// A caller is known by the name it gives itself, or else by its address.
std::string caller_of(const io::http_request& request) {
    const auto* named = io::find_header(request.headers, caller_header);
    return named == nullptr ? request.peer : *named;
}

std::string prefix_for(const member_id& holder, std::uint64_t wall_us) {
    const auto age = wall_us > holder.incarnation
                         ? duration(wall_us - holder.incarnation)
                         : duration::zero();
    return decision::key_prefix(holder, age);
}

} // namespace

void address_desk::take(const program::view_published& published) {
    known_ = published;
}

io::http_response address_desk::answer(const io::http_request& request,
                                       const asking& when) const {
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path != addresses_path || request.method != "GET") {
        return problem(status_not_found, "expected GET /v1/addresses");
    }
    const auto name = io::query_value(request.target, "service");
    if (name.empty()) {
        return problem(status_bad_request, "service: expected a name");
    }
    const auto& view = known_.now;
    if (!view || !view->config) {
        return problem(status_unavailable, "no configuration yet");
    }
    if (!view->members_known) {
        return problem(status_unavailable, "no other instance heard of yet");
    }
    const auto owners = known_.owners->find(name);
    if (owners == known_.owners->end() && !proves_absence(*view)) {
        return problem(status_unavailable, "service: not heard of yet");
    }
    if (owners == known_.owners->end()) {
        return problem(status_not_found, "service: none is called " + name);
    }
    decision::steering_caller caller;
    caller.hash = decision::stable_hash(caller_of(request));
    caller.data_centre = io::query_value(request.target, "data_centre");
    caller.request_number = when.number;
    const auto steered = decision::steer_caller(*view->config, owners->second,
                                                view->members, caller);
    if (steered.addresses.empty()) {
        return problem(status_unavailable, "no entry instance is alive");
    }
    json addresses = json::array();
    // A prefix for each: when the first instance is gone, a caller that goes
    // to the next one must not use a key that the first would have to answer
    // for.
    for (const auto& address : steered.addresses) {
        addresses.push_back(
            {{"instance", address.member.name},
             {"host", address.host},
             {"port", address.port},
             {"weight", address.weight},
             {"key_prefix", prefix_for(address.member, when.wall_us)}});
    }
    const auto keep_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(steered.ttl, when.keep_at_most.value_or(steered.ttl)));
    const json answer = {
        {"service", name},
        {"addresses", addresses},
        {"keep_ms", keep_ms.count()},
        {"key_prefix",
         prefix_for(steered.addresses.front().member, when.wall_us)}};
    io::http_response response;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = answer.dump() + "\n";
    return response;
}

} // namespace waxwingvale::steer
