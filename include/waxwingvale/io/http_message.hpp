#pragma once

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace waxwingvale::io {

// One header line. Names compare without regard to case.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header& a, const http_header& b) {
        return std::tie(a.name, a.value) == std::tie(b.name, b.value);
    }
};

using http_headers = std::vector<http_header>;

// The first header of that name, or null.
const std::string* find_header(const http_headers& headers,
                               const std::string& name);

// Without those that concern one connection only (RFC 9110, 7.6.1): among
// them Connection, Keep-Alive, Transfer-Encoding and what Connection names.
// Host and Content-Length are left out too: the sender's library sets them.
http_headers end_to_end_headers(const http_headers& headers);

// A request as a server received it, whole.
struct http_request {
    std::string method;
    std::string target; // path and query as the caller sent them
    http_headers headers;
    std::string body;
    std::string peer; // IP number of the caller
};

// Bytes of memory that they take, at most a little more.
std::size_t memory_of(const http_headers& headers);
std::size_t memory_of(const http_request& request);

// An answer, whole.
struct http_response {
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

} // namespace waxwingvale::io
