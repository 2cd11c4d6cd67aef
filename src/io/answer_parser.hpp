#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/error.hpp>

#include "io/message_parser.hpp"

namespace waxwingvale::io {

// Reads one answer, and refuses what the library takes though RFC 9110 and RFC
// 9112 know no such answer to a request of ours: a status outside 100 to 599, a
// change of the protocol, for which we never ask, a transfer coding other than
// chunked, of which the body would be passed on undecoded, and control
// characters behind the size of a chunk. Lines that are continued on the next
// one are joined by the library: see has_continued_line().
class answer_parser : public message_parser<false, http_response> {
public:
    answer_parser();

    // The answer is one ahead of the final one; known once its head is read.
    bool is_interim() const;
    // Where the fields behind the last chunk begin, with the end of the line
    // before them, in the bytes that were put last; null: they have not come
    // whole.
    const char* trailer() const { return trailer_; }

private:
    void on_response_impl(int status, string_view reason, int version,
                          parse_result& why) override;
    void on_field_impl(boost::beast::http::field which, string_view name,
                       string_view value, parse_result& why) override;
    void on_header_impl(parse_result& why) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extension,
                              parse_result& why) override;

    bool is_version_1_1_ = false;
    // Of the transfer codings that the head names.
    bool names_coding_ = false;
    std::size_t chunked_codings_ = 0;
    std::size_t other_codings_ = 0;
    const char* trailer_ = nullptr;
};

// Reads a head that has come whole, from its status line up to and with the
// empty line, as an answer without a body; the error is malformed.
result<http_response> parse_answer_head(const std::string& head);

} // namespace waxwingvale::io
