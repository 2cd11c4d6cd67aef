#include <waxwingvale/io/http_message.hpp>

#include <algorithm>
#include <array>
#include <strings.h>

namespace waxwingvale::io {

namespace {

bool same_name(const std::string& a, const std::string& b) {
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

bool is_hop_by_hop(const std::string& name) {
    static const std::array<const char*, 11> names = {"Connection",
                                                      "Keep-Alive",
                                                      "Proxy-Connection",
                                                      "Proxy-Authenticate",
                                                      "TE",
                                                      "Proxy-Authorization",
                                                      "Trailer",
                                                      "Upgrade",
                                                      "Transfer-Encoding",
                                                      "Host",
                                                      "Content-Length"};
    return std::any_of(names.begin(), names.end(),
                       [&](const char* n) { return same_name(name, n); });
}

bool connection_names(const std::string& connection, const std::string& name) {
    std::size_t begin = 0;
    while (begin < connection.size()) {
        const auto end =
            std::min(connection.find(',', begin), connection.size());
        auto token = connection.substr(begin, end - begin);
        token.erase(0, token.find_first_not_of(" \t"));
        token.erase(token.find_last_not_of(" \t") + 1);
        if (same_name(token, name)) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace

const std::string* find_header(const http_headers& headers,
                               const std::string& name) {
    const auto found =
        std::find_if(headers.begin(), headers.end(), [&](const auto& header) {
            return same_name(header.name, name);
        });
    return found == headers.end() ? nullptr : &found->value;
}

http_headers end_to_end_headers(const http_headers& headers) {
    const auto* connection = find_header(headers, "Connection");
    http_headers kept;
    for (const auto& header : headers) {
        const bool named =
            connection != nullptr && connection_names(*connection, header.name);
        if (!named && !is_hop_by_hop(header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::size_t memory_of(const http_headers& headers) {
    std::size_t bytes = headers.capacity() * sizeof(http_header);
    for (const auto& header : headers) {
        bytes += header.name.capacity() + header.value.capacity();
    }
    return bytes;
}

std::size_t memory_of(const http_request& request) {
    return request.target.capacity() + memory_of(request.headers) +
           request.body.capacity();
}

} // namespace waxwingvale::io
