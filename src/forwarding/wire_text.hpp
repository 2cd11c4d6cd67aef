#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <waxwingvale/io/http_message.hpp>

namespace waxwingvale::forwarding {

// How a reader finds the end of a body.
enum class body_framing {
    none,     // no body, and no header about one
    length,   // Content-Length
    chunks,   // Transfer-Encoding: chunked
    until_end // the connection's end; only for callers of HTTP/1.0
};

// How a message's body is sent.
struct body_plan {
    body_framing framing = body_framing::none;
    std::uint64_t length = 0; // for framing by length
};

// "GET /path HTTP/1.1" with the headers given and those of the plan.
std::string request_head(const std::string& method, const std::string& target,
                         const io::http_headers& headers,
                         const body_plan& body);

// "HTTP/1.1 200 OK" likewise; `close` adds "Connection: close".
std::string answer_head(unsigned status, const io::http_headers& headers,
                        const body_plan& body, bool close);

// One piece of a body in chunks, and what ends them.
std::string chunk(std::string_view bytes);
std::string_view last_chunk();

// Whether an answer of that status ever has a body (RFC 9110, 6.4.1).
bool may_have_body(unsigned status);

} // namespace waxwingvale::forwarding
