#include "forwarding/wire_text.hpp"

#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream>

namespace waxwingvale::forwarding {

namespace {

constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;
constexpr unsigned first_final_status = 200;
constexpr int hexadecimal = 16;

void append_headers(std::string& to, const io::http_headers& headers) {
    for (const auto& header : headers) {
        to += header.name;
        to += ": ";
        to += header.value;
        to += "\r\n";
    }
}

void append_plan(std::string& to, const body_plan& body) {
    if (body.framing == body_framing::length) {
        to += "Content-Length: " + std::to_string(body.length) + "\r\n";
    } else if (body.framing == body_framing::chunks) {
        to += "Transfer-Encoding: chunked\r\n";
    }
}

std::string reason_of(unsigned status) {
    namespace http = boost::beast::http;
    const auto known = http::int_to_status(status);
    const auto reason = http::obsolete_reason(known);
    return std::string(reason.data(), reason.size());
}

} // namespace

std::string request_head(const std::string& method, const std::string& target,
                         const io::http_headers& headers,
                         const body_plan& body) {
    std::string head = method + " " + target + " HTTP/1.1\r\n";
    append_headers(head, headers);
    append_plan(head, body);
    head += "\r\n";
    return head;
}

std::string answer_head(unsigned status, const io::http_headers& headers,
                        const body_plan& body, bool close) {
    std::string head =
        "HTTP/1.1 " + std::to_string(status) + " " + reason_of(status) + "\r\n";
    append_headers(head, headers);
    append_plan(head, body);
    if (close) {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    return head;
}

std::string chunk(std::string_view bytes) {
    char size[2 * sizeof(std::size_t)];
    const auto end =
        std::to_chars(size, size + sizeof size, bytes.size(), hexadecimal).ptr;
    std::string text(size, end);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return text;
}

std::string_view last_chunk() {
    return "0\r\n\r\n";
}

bool may_have_body(unsigned status) {
    return status >= first_final_status && status != no_content &&
           status != not_modified;
}

} // namespace waxwingvale::forwarding
