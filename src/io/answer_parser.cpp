#include "io/answer_parser.hpp"

#include <algorithm>
#include <limits>
#include <strings.h>

#include "io/head_check.hpp"

namespace waxwingvale::io {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;

constexpr int version_1_1 = 11;
constexpr int first_status = 100;
constexpr int switching_protocols = 101;
constexpr unsigned first_final_status = 200;
constexpr int last_status = 599;
constexpr const char* blanks = " \t";

string_view trimmed(string_view text) {
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    const auto last = text.find_last_not_of(blanks);
    return text.substr(0, last == text.npos ? 0 : last + 1);
}

// Calls it with each element of a list; empty ones count for nothing (RFC
// 9110, 5.6.1.2).
template <typename Use>
void for_each_element(string_view list, Use use) {
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        const auto element = trimmed(list.substr(0, end));
        if (!element.empty()) {
            use(element);
        }
        list.remove_prefix(std::min(end + 1, list.size()));
    }
}

error malformed(const std::string& detail) {
    return {error_code::malformed, "read answer", "", detail};
}

bool is_chunked(string_view coding) {
    constexpr string_view name = "chunked";
    return coding.size() == name.size() &&
           strncasecmp(coding.data(), name.data(), name.size()) == 0;
}

} // namespace

answer_parser::answer_parser() {
    // Without a value the library, at 1.74, refuses every length.
    body_limit(std::numeric_limits<std::uint64_t>::max());
}

bool answer_parser::is_interim() const {
    return message.status < first_final_status;
}

void answer_parser::on_response_impl(int status, string_view, int version,
                                     parse_result& why) {
    const bool is_status = status >= first_status && status <= last_status;
    if (!is_status || status == switching_protocols) {
        why = http::error::bad_status;
        return;
    }
    message.status = static_cast<unsigned>(status);
    is_version_1_1_ = version == version_1_1;
}

void answer_parser::on_field_impl(http::field which, string_view name,
                                  string_view value, parse_result& why) {
    message_parser::on_field_impl(which, name, value, why);
    if (which != http::field::transfer_encoding) {
        return;
    }
    names_coding_ = true;
    for_each_element(value, [this](string_view coding) {
        ++(is_chunked(coding) ? chunked_codings_ : other_codings_);
    });
}

// HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
void answer_parser::on_header_impl(parse_result& why) {
    const bool is_known = is_version_1_1_ && chunked() &&
                          chunked_codings_ == 1 && other_codings_ == 0;
    if (names_coding_ && !is_known) {
        why = http::error::bad_transfer_encoding;
        return;
    }
    message_parser::on_header_impl(why);
}

// The library tells of the last chunk once all fields behind it have come.
void answer_parser::on_chunk_header_impl(std::uint64_t size,
                                         string_view extension,
                                         parse_result& why) {
    if (std::any_of(extension.begin(), extension.end(), is_control_character)) {
        why = http::error::bad_chunk_extension;
        return;
    }
    if (size == 0) {
        trailer_ = extension.data() + extension.size();
    }
}

result<http_response> parse_answer_head(const std::string& head) {
    answer_parser parser;
    parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    parser.skip(true);
    parser.eager(false);
    boost::beast::error_code why;
    parser.put(boost::asio::buffer(head), why);
    if (why) {
        return malformed(why.message());
    }
    if (has_continued_line(head)) {
        return malformed("a header is continued on the next line");
    }
    return std::move(parser.message);
}

} // namespace waxwingvale::io
