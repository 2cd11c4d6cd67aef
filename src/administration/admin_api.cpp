#include <waxwingvale/administration/admin_api.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <utility>

#include <waxwingvale/model/configuration_file.hpp>

#include "administration/admin_documents.hpp"
#include "administration/explanation.hpp"
#include "io/query.hpp"

namespace waxwingvale::administration {

namespace {

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_unavailable = 503;
constexpr const char* bearer = "Bearer ";
constexpr const char* default_check_name = "configuration";

io::http_response document_response(unsigned status,
                                    const admin_document& document) {
    return {status, {{"Content-Type", "application/json"}}, to_text(document)};
}

io::http_response problem(unsigned status, error_code code,
                          const std::string& peer, const std::string& detail) {
    return document_response(
        status, {{"error", error_document({code, "administration request", peer,
                                           detail})}});
}

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest digest_of(const std::string& text) {
    digest made{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           made.data());
    return made;
}

// Compares in a time that tells nothing about where two texts differ: an
// attacker who could time the comparison would guess a token letter by letter.
bool equal_in_constant_time(const std::string& a, const std::string& b) {
    const auto first = digest_of(a);
    const auto second = digest_of(b);
    return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

// One document under /v1/ and how it is made.
struct admin_route {
    const char* path;
    const char* method;
    admin_document (*make)(const control_snapshot& of,
                           const io::http_request& request);
};

template <admin_document (*Make)(const control_snapshot&)>
admin_document without_request(const control_snapshot& of,
                               const io::http_request&) {
    return Make(of);
}

admin_document explain(const control_snapshot& of,
                       const io::http_request& request) {
    return explanation_document(of,
                                {io::query_value(request.target, "service"),
                                 io::query_value(request.target, "method"),
                                 io::query_value(request.target, "path"),
                                 io::query_value(request.target, "tenant")});
}

admin_document check(const control_snapshot& of,
                     const io::http_request& request) {
    const auto name = io::query_value(request.target, "file");
    return check_document(of, request.body,
                          name.empty() ? default_check_name : name);
}

constexpr admin_route routes[] = {
    {"/v1/status", "GET", without_request<status_document>},
    {"/v1/members", "GET", without_request<members_document>},
    {"/v1/owners", "GET", without_request<owners_document>},
    {"/v1/backends", "GET", without_request<backends_document>},
    {"/v1/configuration", "GET", without_request<configuration_document>},
    {"/v1/quarantine", "GET", without_request<quarantine_document>},
    {"/v1/explain", "GET", explain},
    {"/v1/check", "POST", check},
};

std::string path_of(const std::string& target) {
    return target.substr(0, target.find('?'));
}

io::http_server_options
listen_options(const program::control_settings& settings) {
    constexpr unsigned connection_limit = 64;
    io::http_server_options options;
    options.address = settings.admin_host;
    options.port = settings.admin_port;
    options.body_limit = configuration_size_limit;
    options.connection_limit = connection_limit;
    return options;
}

} // namespace

admin_api::admin_api(std::string token, const program::metrics& of,
                     snapshot_source source)
    : token_(std::move(token)), metrics_(of), source_(std::move(source)) {}

bool admin_api::authorised(const io::http_request& request) const {
    const auto* given = io::find_header(request.headers, "Authorization");
    return given != nullptr && equal_in_constant_time(*given, bearer + token_);
}

io::http_response admin_api::answer(const io::http_request& request) const {
    const auto path = path_of(request.target);
    if (path == "/healthz" && request.method == "GET") {
        return {200, {}, "ok\n"};
    }
    if (path == "/metrics" && request.method == "GET") {
        return program::metrics_response(metrics_);
    }
    if (!authorised(request)) {
        auto refused =
            problem(status_unauthorized, error_code::unauthenticated,
                    request.peer, "expected Authorization: Bearer TOKEN");
        refused.headers.push_back({"WWW-Authenticate", "Bearer"});
        return refused;
    }
    return answer_document(request);
}

io::http_response
admin_api::answer_document(const io::http_request& request) const {
    const auto path = path_of(request.target);
    const auto* route =
        std::find_if(std::begin(routes), std::end(routes),
                     [&](const admin_route& r) { return path == r.path; });
    if (route == std::end(routes)) {
        return problem(status_not_found, error_code::not_found, path,
                       "no such document");
    }
    if (request.method != route->method) {
        auto refused = problem(status_method_not_allowed,
                               error_code::invalid_argument, path,
                               std::string("expected ") + route->method +
                                   "; the administration API changes nothing");
        refused.headers.push_back({"Allow", route->method});
        return refused;
    }
    const auto snapshot = source_();
    if (!snapshot.seen) {
        return problem(status_unavailable, error_code::unavailable, path,
                       "no view yet");
    }
    return document_response(200, route->make(snapshot, request));
}

admin_server::admin_server(kernel::event_loop& loop,
                           const program::control_settings& settings,
                           const program::metrics& of,
                           admin_api::snapshot_source source)
    : api_(settings.admin_token, of, std::move(source)),
      server_(loop, listen_options(settings)) {}

result<void> admin_server::start() {
    return server_.start(
        [this](io::http_request request, io::http_responder respond) {
            respond(api_.answer(request));
        });
}

} // namespace waxwingvale::administration
