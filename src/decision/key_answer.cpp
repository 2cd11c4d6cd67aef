#include <waxwingvale/decision/key_answer.hpp>

namespace waxwingvale::decision {

std::size_t size_in_memory(const whole_answer& answer) {
    std::size_t bytes = sizeof(whole_answer) + answer.body.size();
    for (const auto& header : answer.headers) {
        bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace waxwingvale::decision
