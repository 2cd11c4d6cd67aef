#include <waxwingvale/decision/fingerprint.hpp>

#include <array>
#include <cctype>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include <openssl/sha.h>

namespace waxwingvale::decision {
namespace {

void append_part(std::string& text, const std::string& part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

request_fingerprint digest_of(const std::string& text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    request_fingerprint fingerprint;
    for (std::size_t at = 0; at < sizeof(fingerprint.value); ++at) {
        fingerprint.value = fingerprint.value << 8U | digest[at];
    }
    return fingerprint;
}

std::string joined_parts(const std::string& service, const std::string& method,
                         const std::string& target, const std::string& body) {
    std::string text;
    text.reserve(service.size() + method.size() + target.size() + body.size() +
                 32);
    append_part(text, service);
    append_part(text, method);
    append_part(text, target);
    append_part(text, body);
    return text;
}

std::string lower_case(std::string text) {
    for (auto& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

constexpr std::string_view waxwing_prefix = "waxwing-";
constexpr std::string_view trace_prefix = "x-b3-";

bool starts_with(const std::string& text, std::string_view prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool differs_between_copies(const std::string& name) {
    static const std::set<std::string> names{"idempotency-key",
                                             "x-request-id",
                                             "x-correlation-id",
                                             "traceparent",
                                             "tracestate",
                                             "baggage",
                                             "b3",
                                             "date"};
    return names.count(name) != 0 || starts_with(name, waxwing_prefix) ||
           starts_with(name, trace_prefix);
}

} // namespace

request_fingerprint fingerprint_of(const std::string& service,
                                   const std::string& method,
                                   const std::string& target,
                                   const std::string& body) {
    return digest_of(joined_parts(service, method, target, body));
}

request_fingerprint
crash_fingerprint_of(const std::string& service, const std::string& method,
                     const std::string& target, const std::string& body,
                     const std::vector<fingerprint_header>& headers) {
    // Headers are sorted by name because a proxy or a client library may
    // reorder them.
    std::multimap<std::string, std::string> included;
    for (const auto& header : headers) {
        auto name = lower_case(header.name);
        if (!differs_between_copies(name)) {
            included.emplace(std::move(name), header.value);
        }
    }
    auto text = joined_parts(service, method, target, body);
    for (const auto& [name, value] : included) {
        append_part(text, name);
        append_part(text, value);
    }
    return digest_of(text);
}

request_fingerprint crash_fingerprint_of(const copy_identity& of) {
    auto headers = of.headers;
    // No header that a caller sends has such a name.
    headers.push_back({":tenant", of.tenant});
    return crash_fingerprint_of(of.authority, of.method, of.target,
                                std::string(of.body.substr(0, identified_body)),
                                headers);
}

request_fingerprint varying_fingerprint_of(const copy_identity& of) {
    auto without_values = of;
    for (auto& header : without_values.headers) {
        header.value.clear();
    }
    // No header that a caller sends has such a name.
    without_values.headers.push_back({":values", "any"});
    return crash_fingerprint_of(without_values);
}

} // namespace waxwingvale::decision
