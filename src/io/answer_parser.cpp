#include "io/answer_parser.hpp"

#include <limits>

namespace waxwingvale::io {

namespace {

namespace http = boost::beast::http;

constexpr int first_status = 100;
constexpr int switching_protocols = 101;
constexpr unsigned first_final_status = 200;
constexpr int last_status = 599;

} // namespace

answer_parser::answer_parser() {
    // Without a value the library, at 1.74, refuses every length.
    body_limit(std::numeric_limits<std::uint64_t>::max());
}

bool answer_parser::is_interim() const {
    return message.status < first_final_status;
}

void answer_parser::on_response_impl(int status, string_view, int,
                                     parse_result& why) {
    const bool is_status = status >= first_status && status <= last_status;
    if (!is_status || status == switching_protocols) {
        why = http::error::bad_status;
        return;
    }
    message.status = static_cast<unsigned>(status);
}

} // namespace waxwingvale::io
