#include "strict_answer.hpp"

#include <algorithm>
#include <strings.h>

namespace {

constexpr const char* line_end = "\r\n";
constexpr std::size_t longest_length = 18; // digits

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_letter(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_token_character(char c) {
    const std::string others = "!#$%&'*+-.^_`|~";
    return is_digit(c) || is_letter(c) || others.find(c) != others.npos;
}

// Visible characters, blanks, tabs and bytes above 127.
bool is_text(char c) {
    const auto code = static_cast<unsigned char>(c);
    return c == '\t' || (code >= 0x20 && code != 0x7f);
}

bool is_blank(char c) {
    return c == ' ' || c == '\t';
}

std::string without_blanks_around(std::string text) {
    while (!text.empty() && is_blank(text.back())) {
        text.pop_back();
    }
    text.erase(0, std::min(text.find_first_not_of(" \t"), text.size()));
    return text;
}

bool same(const std::string& a, const char* b) {
    return strcasecmp(a.c_str(), b) == 0 && a.find('\0') == a.npos;
}

int hexadecimal_value(char c) {
    if (is_digit(c)) {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

} // namespace

strict_answer::strict_answer(const std::string& input) : input_(input) {
    whole_ = read();
}

bool strict_answer::take(const std::string& text) {
    if (input_.compare(at_, text.size(), text) != 0) {
        return false;
    }
    at_ += text.size();
    return true;
}

std::string strict_answer::take_token() {
    const auto begin = at_;
    while (!at_end() && is_token_character(input_[at_])) {
        ++at_;
    }
    return input_.substr(begin, at_ - begin);
}

void strict_answer::skip_blanks() {
    while (!at_end() && is_blank(input_[at_])) {
        ++at_;
    }
}

bool strict_answer::read() {
    constexpr unsigned first_final_status = 200;
    do {
        if (!read_head()) {
            return false;
        }
    } while (status_ < first_final_status);
    return read_body();
}

bool strict_answer::read_head() {
    has_length_ = false;
    codings_ = 0;
    only_chunked_ = true;
    if (!read_status_line()) {
        return false;
    }
    while (!take(line_end)) {
        if (!read_field()) {
            return false;
        }
    }
    const bool known_coding = only_chunked_ && is_1_1_ && !has_length_;
    return codings_ == 0 || (codings_ == 1 && known_coding);
}

bool strict_answer::read_status_line() {
    constexpr unsigned switching_protocols = 101;
    is_1_1_ = take("HTTP/1.1 ");
    if (!is_1_1_ && !take("HTTP/1.0 ")) {
        return false;
    }
    const auto code = input_.substr(at_, 4);
    const bool is_code = code.size() == 4 && code[0] >= '1' && code[0] <= '5' &&
                         is_digit(code[1]) && is_digit(code[2]) &&
                         code[3] == ' ';
    if (!is_code) {
        return false;
    }
    status_ = static_cast<unsigned>(std::stoul(code));
    at_ += code.size();
    while (!at_end() && is_text(input_[at_])) {
        ++at_;
    }
    return status_ != switching_protocols && take(line_end);
}

bool strict_answer::read_field() {
    const auto name = take_token();
    if (name.empty() || !take(":")) {
        return false;
    }
    const auto begin = at_;
    while (!at_end() && is_text(input_[at_])) {
        ++at_;
    }
    const auto value = without_blanks_around(input_.substr(begin, at_ - begin));
    return take(line_end) && note_field(name, value);
}

bool strict_answer::note_field(const std::string& name,
                               const std::string& value) {
    if (same(name, "Content-Length")) {
        return note_length(value);
    }
    return !same(name, "Transfer-Encoding") || note_codings(value);
}

// One number, or the same one again and again.
bool strict_answer::note_length(const std::string& value) {
    for (std::size_t begin = 0; begin <= value.size();) {
        const auto end = std::min(value.find(',', begin), value.size());
        const auto number =
            without_blanks_around(value.substr(begin, end - begin));
        const bool is_number =
            !number.empty() && std::all_of(number.begin(), number.end(),
                                           [](char c) { return is_digit(c); });
        auto plain = number;
        plain.erase(0, std::min(plain.find_first_not_of('0'), plain.size()));
        if (!is_number || (has_length_ && plain != length_)) {
            return false;
        }
        has_length_ = true;
        length_ = plain;
        begin = end + 1;
    }
    return true;
}

bool strict_answer::note_codings(const std::string& value) {
    bool any = false;
    for (std::size_t begin = 0; begin <= value.size();) {
        const auto end = std::min(value.find(',', begin), value.size());
        const auto coding =
            without_blanks_around(value.substr(begin, end - begin));
        if (!coding.empty()) {
            any = true;
            ++codings_;
            only_chunked_ = only_chunked_ && same(coding, "chunked");
        }
        begin = end + 1;
    }
    return any;
}

bool strict_answer::read_body() {
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    if (status_ == no_content || status_ == not_modified) {
        return true;
    }
    if (codings_ > 0) {
        return read_chunks();
    }
    if (!has_length_) {
        body_ = input_.substr(at_);
        return true;
    }
    if (length_.size() > longest_length) {
        return false;
    }
    const std::size_t size = length_.empty() ? 0 : std::stoul(length_);
    body_ = input_.substr(at_, size);
    return body_.size() == size;
}

bool strict_answer::read_chunks() {
    while (true) {
        std::size_t size = 0;
        if (!read_chunk_size(size) || !read_extensions() || !take(line_end)) {
            return false;
        }
        if (size == 0) {
            return read_trailer();
        }
        const auto data = input_.substr(at_, size);
        body_ += data;
        at_ += data.size();
        if (data.size() != size || !take(line_end)) {
            return false;
        }
    }
}

bool strict_answer::read_chunk_size(std::size_t& size) {
    std::size_t digits = 0;
    while (!at_end() && hexadecimal_value(input_[at_]) >= 0) {
        // More than the input has is not told apart.
        size = std::min(size * 16 + static_cast<std::size_t>(
                                        hexadecimal_value(input_[at_])),
                        input_.size() + 1);
        ++digits;
        ++at_;
    }
    return digits > 0;
}

bool strict_answer::read_extensions() {
    while (input_.compare(at_, 2, line_end) != 0) {
        skip_blanks();
        if (!take(";")) {
            return false;
        }
        skip_blanks();
        if (take_token().empty()) {
            return false;
        }
        const auto behind_name = at_;
        skip_blanks();
        if (!take("=")) {
            at_ = behind_name;
            continue;
        }
        skip_blanks();
        const bool quoted = input_.compare(at_, 1, "\"") == 0;
        if (quoted ? !read_quoted() : take_token().empty()) {
            return false;
        }
    }
    return true;
}

bool strict_answer::read_quoted() {
    ++at_;
    while (!at_end() && is_text(input_[at_]) && input_[at_] != '"') {
        at_ += input_[at_] == '\\' ? 2 : 1;
    }
    return !at_end() && take("\"");
}

bool strict_answer::read_trailer() {
    while (!take(line_end)) {
        if (!read_field()) {
            return false;
        }
    }
    return true;
}
