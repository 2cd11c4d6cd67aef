#pragma once

#include <string>
#include <vector>

#include "platform/scripted_server.hpp"

namespace waxwingvale::platform {

// Bytes in place of an answer, by the name under which a test asks for them.
struct named_answer {
    std::string name;
    scripted_answer answer;
};

// What is no answer by RFC 9110 and RFC 9112, told by its head or before its
// end. Each bears the signature of a server.
std::vector<named_answer> broken_answers();

// Signed answers that are passed on while they come, and break then.
std::vector<named_answer> long_answers_that_break();

// What is an answer, though seldom seen, and the body that it has.
struct sound_answer {
    std::string name;
    scripted_answer answer;
    unsigned status = 200;
    std::string body;
};
std::vector<sound_answer> odd_sound_answers();

// Longer than an instance waits for a whole answer.
constexpr std::size_t long_body_size = 3 * 1024 * 1024; // bytes

} // namespace waxwingvale::platform
