#pragma once

#include <string_view>

namespace waxwingvale::io {

// What is wrong with a message's head (everything up to and with the empty
// line), or null. Only what two readers of one connection might read
// differently is refused: lines that end without a carriage return, lines
// continued on the next one, and control characters. A sender that hides a
// second request behind such a line would have it run by the backend server
// as if some caller had asked for it.
const char* head_fault(std::string_view head);

// Whether it can stand in no line of a message: a control character but the tab
// (RFC 9110, 5.5). Ends of lines count too.
bool is_control_character(char c);

// Whether a line begins with a blank, which once continued the line before it.
bool has_continued_line(std::string_view lines);

// Whether the bytes received so far of a head that is not complete already
// contain such a fault, so that the sender need not be waited for.
bool has_bare_line_feed(std::string_view bytes);

} // namespace waxwingvale::io
