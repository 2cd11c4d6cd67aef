#include "entry/own_protocol.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <strings.h>
#include <utility>

#include <waxwingvale/decision/idempotency_key.hpp>

namespace waxwingvale::entry {

namespace {

constexpr const char* step = "understand request";
constexpr std::size_t key_length_limit = 200;
// Longer deadlines are cut to this, so that arithmetic on them is safe.
constexpr std::uint64_t longest_deadline_ms = 3'600'000;

result<std::optional<std::uint64_t>> number_header(const io::http_request& from,
                                                   const char* name) {
    const auto* text = io::find_header(from.headers, name);
    if (text == nullptr) {
        return std::optional<std::uint64_t>();
    }
    std::uint64_t value = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return error{error_code::invalid_argument, step, from.peer,
                     std::string(name) + ": expected a whole number"};
    }
    return std::optional<std::uint64_t>(value);
}

// A plain key names no holder; with the prefix that its caller sends beside it
// it does.
std::string named_key(const io::http_request& request, const std::string& key) {
    const auto* prefix = io::find_header(request.headers, header::key_prefix);
    if (prefix == nullptr || decision::parse_idempotency_key(key)) {
        return key;
    }
    return decision::prefixed_key(*prefix, key);
}

result<void> read_headers(const io::http_request& request, caller_call& into) {
    auto deadline = number_header(request, header::deadline);
    if (!deadline) {
        return deadline.error();
    }
    auto attempt = number_header(request, header::attempt);
    if (!attempt) {
        return attempt.error();
    }
    into.time_left = into.kind.deadline;
    if (deadline.value()) {
        const auto capped = std::min(*deadline.value(), longest_deadline_ms);
        into.time_left = std::chrono::milliseconds(capped);
    }
    if (attempt.value()) {
        into.attempt = static_cast<unsigned>(*attempt.value());
    }
    const auto* tenant = io::find_header(request.headers, header::tenant);
    into.tenant = tenant == nullptr ? default_tenant : *tenant;
    const auto* key = io::find_header(request.headers, header::key);
    if (key == nullptr) {
        return success();
    }
    if (key->empty() || key->size() > key_length_limit) {
        return error{error_code::invalid_argument, step, request.peer,
                     std::string(header::key) + ": expected 1 to " +
                         std::to_string(key_length_limit) + " characters"};
    }
    into.key = named_key(request, *key);
    return success();
}

bool may_call(const service& of, const std::string& tenant) {
    return of.tenants.empty() || std::find(of.tenants.begin(), of.tenants.end(),
                                           tenant) != of.tenants.end();
}

} // namespace

result<caller_call>
own_protocol::understand(const configuration& config,
                         const io::http_request& request) const {
    const auto& target = request.target;
    const auto name_end =
        std::min(target.find_first_of("/?", 1), target.size());
    const auto name =
        target.empty() ? std::string() : target.substr(1, name_end - 1);
    const auto* of = find_service(config, name);
    if (of == nullptr) {
        return error{error_code::not_found, step, request.peer,
                     "no service is called '" + name + "'"};
    }
    caller_call call;
    call.authority = name;
    call.target = target.substr(name_end);
    if (call.target.empty() || call.target.front() != '/') {
        call.target.insert(0, "/");
    }
    const auto* kind = find_class(*of, request.method, call.target);
    if (kind == nullptr) {
        return error{error_code::not_found, step, request.peer,
                     "no class of " + name + " takes " + request.method + " " +
                         call.target};
    }
    call.kind = *kind;
    call.targets = {{name, 1}};
    auto read = read_headers(request, call);
    if (!read) {
        return read.error();
    }
    if (!may_call(*of, call.tenant)) {
        return error{error_code::refused, step, request.peer,
                     "tenant '" + call.tenant + "' may not call " + name};
    }
    return call;
}

bool own_protocol::may_be_resent(const io::http_request& request) const {
    return io::find_header(request.headers, header::key) != nullptr;
}

io::http_headers
own_protocol::backend_headers(const io::http_headers& from_caller,
                              const attempt_facts& facts) const {
    // Headers that are set anew on the way to a backend server.
    const auto is_rewritten = [](const std::string& name) {
        return strcasecmp(name.c_str(), header::deadline) == 0 ||
               strcasecmp(name.c_str(), header::attempt) == 0;
    };
    io::http_headers headers;
    for (const auto& each : from_caller) {
        if (!is_rewritten(each.name)) {
            headers.push_back(each);
        }
    }
    const auto left_ms =
        std::chrono::ceil<std::chrono::milliseconds>(facts.time_left);
    headers.push_back({header::deadline, std::to_string(left_ms.count())});
    // Its presence tells the levels below that a level above retries.
    headers.push_back({header::attempt, std::to_string(facts.attempt)});
    return headers;
}

std::optional<forwarding::echoed_header>
own_protocol::echo_of(const attempt_facts&) const {
    return std::nullopt;
}

std::string own_protocol::health_target(const service& of) const {
    return of.health_path.empty() ? "/-/health" : of.health_path;
}

backend_answer
own_protocol::classify_health(const forwarding::backend_result& ended,
                              const std::string&) const {
    return classify(ended);
}

} // namespace waxwingvale::entry
