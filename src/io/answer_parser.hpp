#pragma once

#include <waxwingvale/io/http_message.hpp>

#include "io/message_parser.hpp"

namespace waxwingvale::io {

// Reads one answer, and refuses what the library takes though RFC 9110 and RFC
// 9112 know no such answer to a request of ours: a status outside 100 to 599,
// and a change of the protocol, for which we never ask.
class answer_parser : public message_parser<false, http_response> {
public:
    answer_parser();

    // The answer is one ahead of the final one; known once its head is read.
    bool is_interim() const;

private:
    void on_response_impl(int status, string_view reason, int version,
                          parse_result& why) override;
};

} // namespace waxwingvale::io
