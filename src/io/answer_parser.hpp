#pragma once

#include <waxwingvale/io/http_message.hpp>

#include "io/message_parser.hpp"

namespace waxwingvale::io {

// Reads one answer by the library's parser.
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
