#include "io/answer_parser.hpp"

#include <limits>

namespace waxwingvale::io {

namespace {

constexpr unsigned switching_protocols = 101;
constexpr unsigned first_final_status = 200;

} // namespace

answer_parser::answer_parser() {
    // Without a value the library, at 1.74, refuses every length.
    body_limit(std::numeric_limits<std::uint64_t>::max());
}

bool answer_parser::is_interim() const {
    return message.status < first_final_status &&
           message.status != switching_protocols;
}

void answer_parser::on_response_impl(int status, string_view, int,
                                     parse_result&) {
    message.status = static_cast<unsigned>(status);
}

} // namespace waxwingvale::io
