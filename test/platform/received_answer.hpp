#pragma once

#include <cstddef>
#include <string>

namespace waxwingvale::platform {

// How the connection stands on which bytes were received.
enum class connection_state { open, closed, reset };

// What a caller makes of the first final answer in the bytes that it got, by
// RFC 9112 alone.
struct received_answer {
    unsigned status = 0; // 0: no whole head of an answer
    std::string head;    // with the empty line behind it
    std::string body;    // as far as it came, without its framing
    bool complete = false;

    bool has_header(const std::string& name) const;
    // A success that looks whole.
    bool whole_success() const;
};

received_answer read_received(const std::string& bytes, connection_state state);

// How many heads of answers begin in the bytes.
std::size_t answers_begun(const std::string& bytes);

} // namespace waxwingvale::platform
