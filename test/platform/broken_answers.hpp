#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/scripted_server.hpp"
#include "platform/scripted_world.hpp"

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

// Answers that refuse by a status, as one that "never ran" does, without the
// header that proves it: 408, 421, 429 and 503 in each framing, cut, without an
// id or a signature, and before the request is whole. A 421 without both says
// by its status that another server has the address.
std::vector<named_answer> unproven_refusals();

// The same with the header: 421, 429 and 503.
std::vector<named_answer> proven_refusals();

// Checks that a call got one whole answer of the instance itself, and nothing
// of what a server had sent in place of one of those above.
void check_own_answer(const raw_call& call);

// What follows the prefix of the route: the name of the answer to send.
std::string name_in(const std::string& target);

// Servers answer what the target names, if any of these, else as usual.
template <typename Named>
scripted_server::script by_name(const std::vector<Named>& all) {
    std::map<std::string, scripted_answer> answers;
    for (const auto& each : all) {
        answers[each.name] = each.answer;
    }
    return [answers](const io::http_request& head) {
        const auto found = answers.find(name_in(head.target));
        return found == answers.end() ? std::nullopt
                                      : std::optional(found->second);
    };
}

// Longer than an instance waits for a whole answer.
constexpr std::size_t long_body_size = 3 * 1024 * 1024; // bytes

} // namespace waxwingvale::platform
