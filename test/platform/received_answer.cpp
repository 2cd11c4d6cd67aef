#include "platform/received_answer.hpp"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <strings.h>

namespace waxwingvale::platform {

namespace {

constexpr const char* status_line = "HTTP/1.1 ";
constexpr const char* head_end = "\r\n\r\n";
constexpr std::size_t head_end_size = 4;
constexpr std::size_t line_end_size = 2;
constexpr unsigned first_final_status = 200;
constexpr unsigned first_redirection = 300;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;
constexpr int hexadecimal = 16;

std::optional<std::string> header_value(const std::string& head,
                                        const std::string& name) {
    for (auto at = head.find("\r\n"); at != head.npos;
         at = head.find("\r\n", at + line_end_size)) {
        const auto begin = at + line_end_size;
        const bool found =
            strncasecmp(head.c_str() + begin, name.c_str(), name.size()) == 0 &&
            head.compare(begin + name.size(), 1, ":") == 0;
        if (found) {
            const auto value = begin + name.size() + 1;
            auto text = head.substr(value, head.find("\r\n", value) - value);
            text.erase(0, text.find_first_not_of(" \t"));
            return text;
        }
    }
    return std::nullopt;
}

void read_chunks(const std::string& bytes, received_answer& into) {
    std::size_t at = 0;
    while (true) {
        const auto line_end = bytes.find("\r\n", at);
        if (line_end == bytes.npos) {
            return;
        }
        const auto size =
            std::strtoul(bytes.c_str() + at, nullptr, hexadecimal);
        at = line_end + line_end_size;
        if (size == 0) {
            into.complete = bytes.compare(at, line_end_size, "\r\n") == 0;
            return;
        }
        into.body += bytes.substr(at, size);
        at += size + line_end_size;
        if (at > bytes.size()) {
            return;
        }
    }
}

void read_body(const std::string& bytes, connection_state state,
               received_answer& into) {
    const bool without_body =
        into.status == no_content || into.status == not_modified;
    if (without_body) {
        into.complete = true;
    } else if (into.has_header("Transfer-Encoding")) {
        read_chunks(bytes, into);
    } else if (const auto length = header_value(into.head, "Content-Length")) {
        into.body = bytes.substr(0, std::stoul(*length));
        into.complete = into.body.size() == std::stoul(*length);
    } else {
        into.body = bytes;
        into.complete = state == connection_state::closed;
    }
}

} // namespace

bool received_answer::has_header(const std::string& name) const {
    return header_value(head, name).has_value();
}

bool received_answer::whole_success() const {
    return complete && status >= first_final_status &&
           status < first_redirection;
}

received_answer read_received(const std::string& bytes,
                              connection_state state) {
    received_answer read;
    std::size_t begin = 0;
    while (bytes.compare(begin, std::string(status_line).size(), status_line) ==
           0) {
        const auto end = bytes.find(head_end, begin);
        if (end == bytes.npos) {
            return read;
        }
        const auto body = end + head_end_size;
        const auto status = static_cast<unsigned>(std::strtoul(
            bytes.c_str() + begin + std::string(status_line).size(), nullptr,
            10));
        // The product's own interim answer to "Expect".
        if (status == 100) {
            begin = body;
            continue;
        }
        read.status = status;
        read.head = bytes.substr(begin, body - begin);
        read_body(bytes.substr(body), state, read);
        return read;
    }
    return read;
}

std::size_t answers_begun(const std::string& bytes) {
    std::size_t count = 0;
    for (auto at = bytes.find("HTTP/1."); at != bytes.npos;
         at = bytes.find("HTTP/1.", at + 1)) {
        ++count;
    }
    return count;
}

} // namespace waxwingvale::platform
