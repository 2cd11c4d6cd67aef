#include "io/head_check.hpp"

#include <algorithm>

namespace waxwingvale::io {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_forbidden(char c) {
    const bool is_line_end = c == '\r' || c == '\n';
    return is_control_character(c) && !is_line_end;
}

bool has_bare_carriage_return(std::string_view head) {
    for (auto at = head.find('\r'); at != head.npos;
         at = head.find('\r', at + 1)) {
        if (at + 1 < head.size() && head[at + 1] != '\n') {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_control_character(char c) {
    const auto code = static_cast<unsigned char>(c);
    return (code < first_printable && c != '\t') || code == delete_character;
}

bool has_continued_line(std::string_view lines) {
    return lines.find("\n ") != lines.npos || lines.find("\n\t") != lines.npos;
}

bool has_bare_line_feed(std::string_view bytes) {
    for (auto at = bytes.find('\n'); at != bytes.npos;
         at = bytes.find('\n', at + 1)) {
        if (at == 0 || bytes[at - 1] != '\r') {
            return true;
        }
    }
    return false;
}

const char* head_fault(std::string_view head) {
    if (has_bare_line_feed(head)) {
        return "a line ends without a carriage return";
    }
    if (has_bare_carriage_return(head)) {
        return "a carriage return stands alone";
    }
    if (has_continued_line(head)) {
        return "a header is continued on the next line";
    }
    if (std::any_of(head.begin(), head.end(), is_forbidden)) {
        return "a control character stands in the head";
    }
    return nullptr;
}

} // namespace waxwingvale::io
