#pragma once

#include <cstddef>

#include <waxwingvale/io/http_message.hpp>

#include "io/message_parser.hpp"

namespace waxwingvale::io {

// Reads one answer, and refuses what the library takes though RFC 9110 and RFC
// 9112 know no such answer to a request of ours: a status outside 100 to 599,
// a change of the protocol, for which we never ask, and a transfer coding other
// than chunked, of which the body would be passed on undecoded.
class answer_parser : public message_parser<false, http_response> {
public:
    answer_parser();

    // The answer is one ahead of the final one; known once its head is read.
    bool is_interim() const;

private:
    void on_response_impl(int status, string_view reason, int version,
                          parse_result& why) override;
    void on_field_impl(boost::beast::http::field which, string_view name,
                       string_view value, parse_result& why) override;
    void on_header_impl(parse_result& why) override;

    bool is_version_1_1_ = false;
    // Of the transfer codings that the head names.
    bool names_coding_ = false;
    std::size_t chunked_codings_ = 0;
    std::size_t other_codings_ = 0;
};

} // namespace waxwingvale::io
